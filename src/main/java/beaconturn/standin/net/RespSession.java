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
  private static final long MILLI = 1_000_000;
  private static final int READ_PARTS = 4;
  private static final int LONG_LINE = 4096;
  private final EmulatedFleet world;
  private final long number;
  private final RespReader reader = new RespReader(RespReader.LONGEST_VALUE_BYTES);
  private CacheServerModel.Session session;
  private CacheServerModel cache;
  private int router;
  private boolean mute;

  RespSession(EventLoop loop, SocketChannel channel, EmulatedFleet world, long number) {
    super(loop, channel);
    this.world = world;
    this.number = number;
  }

  void attach(CacheServerModel to, int from) {
    cache = to;
    router = from;
    session = to.open(this, from, number);
  }

  /** Never spoken to: nothing is read, for as long as this holds. */
  void mute(boolean on) {
    mute = on;
  }

  boolean muted() {
    return mute;
  }

  @Override
  void hear(boolean nothing, boolean cutOff) {
    super.hear(nothing || mute, cutOff);
  }

  @Override
  protected void parse(InputBuffer buffer) throws ProtocolException {
    for (RespValue value = reader.next(buffer);
        value != null && !ended();
        value = reader.next(buffer)) {
      command(value);
      taken();
    }
  }

  private void command(RespValue value) throws ProtocolException {
    if (!(value instanceof RespValue.Array array)
        || array.items() == null
        || array.items().isEmpty()) {
      throw new ProtocolException("a command is a list of strings");
    }
    List<RespValue> items = array.items();
    String word = text(items.get(0)).toUpperCase(Locale.ROOT);
    switch (word) {
      case "C.GET", "C.SET" -> request(items, word.equals("C.SET"));
      case "PING" -> write(RespWriter.simple("PONG"));
      case "CLIENT", "SELECT" -> write(RespWriter.simple("OK"));
      default -> write(RespWriter.failure("ERR unknown command"));
    }
  }

  private void request(List<RespValue> items, boolean write) throws ProtocolException {
    if (items.size() != (write ? READ_PARTS + 1 : READ_PARTS)) {
      throw new ProtocolException("wrong number of arguments");
    }
    Map<String, String> attributes = attributes(text(items.get(3)));
    int size = write ? text(items.get(READ_PARTS)).length() : 0;
    if (!attributes.containsKey("c") || !attributes.getOrDefault("d", "").matches("[0-9]{1,9}")) {
      throw new ProtocolException("class or wait is missing");
    }
    session.command(
        new CacheCommand(
            world.nextCommand(),
            text(items.get(1)),
            text(items.get(2)),
            attributes.get("c"),
            write,
            attributes.get("k"),
            Long.parseLong(attributes.get("d")) * MILLI,
            size,
            firstAt(),
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
  protected void unreadable(String why) {
    world.recorder().invalidInput(loop.scheduler().now(), cache.listing().host(), router, why);
    write(RespWriter.failure("SYNTAX " + why));
  }

  @Override
  protected void gone() {
    session.connectionClosed(loop.turn());
  }

  @Override
  public void respond(CacheResponse response) {
    if (reply instanceof CacheResponse.Value value) {
      write(value(value, value.report()));
    } else if (reply instanceof CacheResponse.Corrupted spoilt) {
      write(spoilt(spoilt));
    } else if (reply instanceof CacheResponse.Busy) {
      write(RespWriter.failure("BUSY"));
    } else {
      write(RespWriter.failure("ERR failed"));
    }
  }

  private static Slice value(CacheResponse.Value value, String report) {
    ByteArrayOutputStream all = gather();
    add(all, RespWriter.listOf(3));
    add(all, RespWriter.bulk(value.bytes()));
    String how =
        value.outcome() == CacheResponse.Outcome.WRITTEN
            ? null
            : value.outcome().name().toLowerCase(Locale.ROOT);
    add(all, RespWriter.bulk(how == null ? null : how.getBytes(StandardCharsets.US_ASCII)));
    add(all, RespWriter.bulk(report == null ? null : report.getBytes(StandardCharsets.US_ASCII)));
    return new Slice(all.toByteArray(), 0, all.size());
  }

  /** The forms that spoilt answers have been seen in. */
  private static Slice spoilt(CacheResponse.Corrupted spoilt) {
    Slice good = value(spoilt.value(), spoilt.value().report());
    String size = Integer.toString(spoilt.value().bytes().length);
    return switch (spoilt.corruption()) {
      case NOISE -> Slice.of("\u0001\u0007~~ noise ~~\r\n\r\n");
      case ENDLESS_LINE -> Slice.of("+" + "x".repeat(LONG_LINE));
      case WRONG_LENGTH -> Slice.of("*3\r\n$" + size + "0\r\nshort\r\n$3\r\nhit\r\n$-1\r\n");
      case HUGE_LENGTH -> Slice.of("*3\r\n$3000000000\r\n" + "y".repeat(LONG_LINE));
      case DUPLICATED -> joined(good, good);
      case TRAILING_NOISE -> joined(good, Slice.of("~~ more ~~\r\n"));
      default -> value(spoilt.value(), "inflight=NaN,,qps=-1,=");
    };
  }

  private static Slice joined(Slice first, Slice second) {
    ByteArrayOutputStream all = gather();
    add(all, first);
    add(all, second);
    return new Slice(all.toByteArray(), 0, all.size());
  }

  private static void add(ByteArrayOutputStream all, Slice piece) {
    all.write(piece.array(), piece.from(), piece.length());
  }
}
