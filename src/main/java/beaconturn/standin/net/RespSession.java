package beaconturn.standin.net;

import beaconturn.protocol.InputBuffer;
import beaconturn.protocol.ProtocolException;
import beaconturn.protocol.RespReader;
import beaconturn.protocol.RespValue;
import beaconturn.protocol.RespWriter;
import beaconturn.protocol.Slice;
import beaconturn.standin.CacheCommand;
import beaconturn.standin.CacheResponse;
import beaconturn.standin.CacheServerConnection;
import beaconturn.standin.CacheServerModel;
import beaconturn.standin.EmulatedFleet;
import java.io.ByteArrayOutputStream;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** One connection of a router to a stand-in cache server, in RESP2. */
final class RespSession extends NonBlockingConnection implements CacheServerConnection {
  private static final long NANOS_PER_MILLI = 1_000_000;

  /**
   * Items of a C.GET command: name, key, request id, attributes. C.SET has a fifth item, the value.
   */
  private static final int READ_ITEM_COUNT = 4;

  private static final int LONG_LINE_BYTES = 4096;
  private final EmulatedFleet fleet;
  private final long number;
  private final RespReader reader = new RespReader(RespReader.MAX_VALUE_BYTES);
  private CacheServerModel.Session session;
  private CacheServerModel server;
  private int router;
  private boolean mute;

  RespSession(EventLoop loop, SocketChannel channel, EmulatedFleet fleet, long number) {
    super(loop, channel);
    this.fleet = fleet;
    this.number = number;
  }

  /** Opens the session with a cache server; must be called before {@link #start}. */
  void attach(CacheServerModel cacheServer, int fromRouter) {
    server = cacheServer;
    router = fromRouter;
    session = cacheServer.open(this, fromRouter, number);
  }

  /** Sets whether the connection is never read; takes effect at the next {@link #suspend}. */
  void setMute(boolean on) {
    mute = on;
  }

  boolean mute() {
    return mute;
  }

  @Override
  void suspend(boolean suspendRead, boolean suspendAll) {
    super.suspend(suspendRead || mute, suspendAll);
  }

  @Override
  protected void parse(InputBuffer buffer) throws ProtocolException {
    for (RespValue value = reader.next(buffer);
        value != null && !isClosed();
        value = reader.next(buffer)) {
      handle(value);
      messageConsumed();
    }
  }

  private void handle(RespValue value) throws ProtocolException {
    if (!(value instanceof RespValue.Array array)
        || array.items() == null
        || array.items().isEmpty()) {
      throw new ProtocolException("a command is a list of strings");
    }
    List<RespValue> items = array.items();
    String name = text(items.get(0)).toUpperCase(Locale.ROOT);
    switch (name) {
      case "C.GET", "C.SET" -> handleRequest(items, name.equals("C.SET"));
      case "PING" -> write(RespWriter.simple("PONG"));
      case "CLIENT", "SELECT" -> write(RespWriter.simple("OK"));
      default -> write(RespWriter.error("ERR unknown command"));
    }
  }

  private void handleRequest(List<RespValue> items, boolean write) throws ProtocolException {
    if (items.size() != (write ? READ_ITEM_COUNT + 1 : READ_ITEM_COUNT)) {
      throw new ProtocolException("wrong number of arguments");
    }
    Map<String, String> attributes = attributes(text(items.get(3)));
    int valueBytes = write ? text(items.get(READ_ITEM_COUNT)).length() : 0;
    if (!attributes.containsKey("c") || !attributes.getOrDefault("d", "").matches("[0-9]{1,9}")) {
      throw new ProtocolException("class or wait is missing");
    }
    session.command(
        new CacheCommand(
            fleet.nextCommand(),
            text(items.get(1)),
            text(items.get(2)),
            attributes.get("c"),
            write,
            attributes.get("k"),
            Long.parseLong(attributes.get("d")) * NANOS_PER_MILLI,
            valueBytes,
            firstByteNanos(),
            loop.turn()));
  }

  private static Map<String, String> attributes(String text) {
    Map<String, String> found = new HashMap<>();
    for (String pair : text.split(",")) {
      int equals = pair.indexOf('=');
      if (equals > 0) {
        found.put(pair.substring(0, equals), pair.substring(equals + 1));
      }
    }
    return found;
  }

  private static String text(RespValue value) throws ProtocolException {
    if (value instanceof RespValue.Bulk bulk && bulk.bytes() != null) {
      return bulk.bytes().toString();
    }
    throw new ProtocolException("an argument that is no string");
  }

  @Override
  protected void invalidInput(String reason) {
    fleet.recorder().invalidInput(loop.scheduler().now(), server.listing().host(), router, reason);
    write(RespWriter.error("SYNTAX " + reason));
  }

  @Override
  protected void connectionClosed() {
    session.connectionClosed(loop.turn());
  }

  @Override
  public void respond(CacheResponse response) {
    if (response instanceof CacheResponse.Value value) {
      write(encode(value, value.report()));
    } else if (response instanceof CacheResponse.Corrupted corrupted) {
      write(encodeCorrupted(corrupted));
    } else if (response instanceof CacheResponse.Busy) {
      write(RespWriter.error("BUSY"));
    } else {
      write(RespWriter.error("ERR failed"));
    }
  }

  private static Slice encode(CacheResponse.Value value, String loadReport) {
    ByteArrayOutputStream message = newMessageBuffer();
    append(message, RespWriter.arrayHeader(3));
    append(message, RespWriter.bulk(value.bytes()));
    String readStatus =
        value.outcome() == CacheResponse.Outcome.WRITTEN
            ? null
            : value.outcome().name().toLowerCase(Locale.ROOT);
    append(
        message,
        RespWriter.bulk(
            readStatus == null ? null : readStatus.getBytes(StandardCharsets.US_ASCII)));
    append(
        message,
        RespWriter.bulk(
            loadReport == null ? null : loadReport.getBytes(StandardCharsets.US_ASCII)));
    return new Slice(message.toByteArray(), 0, message.size());
  }

  private static Slice encodeCorrupted(CacheResponse.Corrupted corrupted) {
    Slice valid = encode(corrupted.value(), corrupted.value().report());
    String size = Integer.toString(corrupted.value().bytes().length);
    return switch (corrupted.corruption()) {
      case NOISE -> Slice.of("\u0001\u0007~~ noise ~~\r\n\r\n");
      case ENDLESS_LINE -> Slice.of("+" + "x".repeat(LONG_LINE_BYTES));
      case WRONG_LENGTH -> Slice.of("*3\r\n$" + size + "0\r\nshort\r\n$3\r\nhit\r\n$-1\r\n");
      case HUGE_LENGTH -> Slice.of("*3\r\n$3000000000\r\n" + "y".repeat(LONG_LINE_BYTES));
      case DUPLICATED -> concatenate(valid, valid);
      case TRAILING_NOISE -> concatenate(valid, Slice.of("~~ more ~~\r\n"));
      default -> encode(corrupted.value(), "inflight=NaN,,qps=-1,=");
    };
  }

  private static Slice concatenate(Slice first, Slice second) {
    ByteArrayOutputStream message = newMessageBuffer();
    append(message, first);
    append(message, second);
    return new Slice(message.toByteArray(), 0, message.size());
  }

  private static void append(ByteArrayOutputStream message, Slice bytes) {
    message.write(bytes.array(), bytes.from(), bytes.length());
  }
}
