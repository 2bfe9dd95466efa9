package beaconturn.standin.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import beaconturn.core.Clock;
import beaconturn.protocol.HttpReader;
import beaconturn.protocol.HttpResponse;
import beaconturn.protocol.HttpWriter;
import beaconturn.protocol.InputBuffer;
import beaconturn.protocol.Json;
import beaconturn.protocol.JsonReader;
import beaconturn.protocol.ProtocolException;
import beaconturn.protocol.RespReader;
import beaconturn.protocol.RespValue;
import beaconturn.standin.CacheCommand;
import beaconturn.standin.CacheServerSpec;
import beaconturn.standin.EmulatedFleet;
import beaconturn.standin.EventScheduler;
import beaconturn.standin.Fault;
import beaconturn.standin.HistoryRecorder;
import beaconturn.standin.OriginModel;
import beaconturn.standin.RandomSources;
import beaconturn.standin.WorkCost;
import java.io.Closeable;
import java.io.IOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Checks the stand-ins over loopback sockets, as a router uses them. */
@Timeout(60)
class EmulatedFleetServerTest {
  private static final long MILLI = 1_000_000;
  private static final long SECOND = 1000 * MILLI;
  private static final int TIMEOUT_MILLIS = 20_000;
  private static final int SILENCE_MILLIS = 300;
  private static final String GET =
      "*4\r\n$5\r\nC.GET\r\n$1\r\nk\r\n$2\r\n%02d\r\n$13\r\nc=read,d=9000\r\n";
  private final BlockingQueue<String> events = new LinkedBlockingQueue<>();
  private final BlockingQueue<Long> firstByteNanos = new LinkedBlockingQueue<>();
  private final Clock clock = Clock.system();
  private final EmulatedFleet fleet;
  private final EmulatedFleetServer fleetServer;

  EmulatedFleetServerTest() throws IOException {
    CacheServerSpec serverSpec =
        new CacheServerSpec(
            1,
            4,
            8,
            100_000,
            60 * SECOND,
            1,
            0,
            4,
            SECOND,
            100,
            0,
            8,
            true,
            true,
            List.of("inflight"));
    EmulatedFleet.Spec fleetSpec =
        new EmulatedFleet.Spec(
            List.of(
                new EmulatedFleet.Member("c1", "east", "kind", 0, 1, serverSpec),
                new EmulatedFleet.Member("c2", "east", "kind", 0, 1, serverSpec)),
            new OriginModel.Spec(4, 100, MILLI, 8, SECOND, SECOND),
            List.of(new WorkCost("read", MILLI, 20, false, false, 0, "all")),
            0,
            100 * MILLI);
    HistoryRecorder recorder =
        new HistoryRecorder() {
          @Override
          public void commandReceived(
              long atNanos,
              String server,
              int router,
              long connection,
              CacheCommand command,
              long workNanos) {
            events.add(server + " " + router + " " + command.id());
            firstByteNanos.add(command.firstByteNanos());
          }

          @Override
          public void connectionClosed(long atNanos, long turn, long connection) {
            events.add("ended");
          }

          @Override
          public void invalidInput(long atNanos, String server, int router, String reason) {
            events.add("unreadable");
          }
        };
    fleet =
        new EmulatedFleet(
            new EventScheduler(clock.now()), fleetSpec, new RandomSources(1), recorder);
    fleetServer = new EmulatedFleetServer(fleet, clock::now, 2, 0);
    fleetServer.start();
  }

  @AfterEach
  void close() {
    fleetServer.close();
  }

  private String nextEvent() throws InterruptedException {
    return events.poll(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
  }

  private void startFault(Fault.Kind kind, int server, double amount) {
    fleetServer.apply(() -> fleet.startFault(kind, server, amount));
  }

  private void endFault(Fault.Kind kind, int server) {
    fleetServer.apply(() -> fleet.endFault(kind, server));
  }

  /** A router's end of a connection. */
  private static final class Peer implements Closeable {
    private final Socket socket = new Socket();
    private final InputBuffer in = new InputBuffer();

    Peer(InetSocketAddress address, int connectMillis) throws IOException {
      socket.connect(address, connectMillis);
      socket.setSoTimeout(TIMEOUT_MILLIS);
    }

    Peer send(String text) throws IOException {
      socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
      return this;
    }

    private boolean read() throws IOException {
      int room = in.ensureRoom();
      int count = socket.getInputStream().read(in.array(), in.end(), room);
      if (count > 0) {
        in.filled(count);
      }
      return count >= 0;
    }

    RespValue readValue() throws IOException, ProtocolException {
      RespReader reader = new RespReader(1000);
      RespValue value = reader.next(in);
      while (value == null && read()) {
        value = reader.next(in);
      }
      return value;
    }

    HttpResponse readHttp() throws IOException, ProtocolException {
      HttpReader reader = new HttpReader(10_000);
      HttpResponse value = reader.next(in, false);
      while (value == null && read()) {
        value = reader.next(in, false);
      }
      return value;
    }

    void assertSilent() throws IOException {
      socket.setSoTimeout(SILENCE_MILLIS);
      assertThrows(SocketTimeoutException.class, this::read);
      socket.setSoTimeout(TIMEOUT_MILLIS);
    }

    @Override
    public void close() throws IOException {
      socket.close();
    }
  }

  private Peer connect(int router, int server) throws IOException {
    return new Peer(fleetServer.serverAddress(router, server), TIMEOUT_MILLIS);
  }

  private static String get(int id) {
    return String.format(GET, id);
  }

  private static String id(RespValue response) {
    return ((RespValue.Bulk) ((RespValue.Array) response).items().get(0))
        .bytes()
        .toString()
        .split(" ")[3];
  }

  @Test
  void serverSpeaksRespAndRecordsTheRouter() throws Exception {
    try (Peer peer = connect(1, 0)) {
      peer.send("*1\r\n$4\r\nPING\r\n*2\r\n$6\r\nSELECT\r\n$1\r\n0\r\n*1\r\n$5\r\nHELLO\r\n");
      peer.send(get(1) + get(2));
      assertEquals("+PONG", peer.readValue().frame().toString().trim());
      assertEquals("+OK", peer.readValue().frame().toString().trim());
      assertEquals("-ERR unknown command", peer.readValue().frame().toString().trim());
      List<RespValue> parts = ((RespValue.Array) peer.readValue()).items();
      String readStatus = parts.get(1).frame().toString().trim();
      assertTrue(readStatus.endsWith("miss") || readStatus.endsWith("pending"), readStatus);
      assertTrue(parts.get(2).frame().toString().contains("inflight="));
      assertEquals("02", id(peer.readValue()));
    }
    assertEquals("c1 1 01", nextEvent());
    assertEquals("c1 1 02", nextEvent());
    assertEquals("ended", nextEvent());
  }

  @Test
  void invalidCommandIsRejectedAndRecorded() throws Exception {
    try (Peer peer = connect(0, 0)) {
      peer.send("*4\r\n$5\r\nC.GET\r\n$1\r\nk\r\n$2\r\n01\r\n$6\r\nc=read\r\n");
      assertTrue(peer.readValue().frame().toString().startsWith("-SYNTAX "));
      assertEquals(null, peer.readValue());
    }
    assertEquals("unreadable", nextEvent());
  }

  @Test
  void stalledServerReadsCommandsButSendsNothing() throws Exception {
    startFault(Fault.Kind.STALL, 0, 1);
    try (Peer peer = connect(0, 0)) {
      peer.send(get(1));
      assertEquals("c1 0 01", nextEvent());
      peer.assertSilent();
      endFault(Fault.Kind.STALL, 0);
      assertEquals("01", id(peer.readValue()));
    }
  }

  @Test
  void serverThatReadsNothingServesPendingInputLater() throws Exception {
    try (Peer peer = connect(0, 0)) {
      peer.send(get(1));
      peer.readValue();
      events.clear();
      startFault(Fault.Kind.UNREAD, 0, 1);
      peer.send(get(2));
      peer.assertSilent();
      assertEquals(0, events.size());
      endFault(Fault.Kind.UNREAD, 0);
      assertEquals("02", id(peer.readValue()));
    }
  }

  /** The invariant on draining counts from a command's first byte, however late the rest is. */
  @Test
  void commandIsTimedFromItsFirstByte() throws Exception {
    try (Peer peer = connect(0, 0)) {
      peer.send(get(1)).readValue();
      peer.send(get(2).substring(0, 9));
      long before = clock.now();
      peer.assertSilent();
      peer.send(get(2).substring(9));
      assertEquals("02", id(peer.readValue()));
      firstByteNanos.remove();
      long receivedNanos = firstByteNanos.remove();
      assertTrue(receivedNanos < before + SILENCE_MILLIS * MILLI, "timed from its last byte");
    }
  }

  @Test
  void muteServerServesOnlyOldConnections() throws Exception {
    try (Peer oldPeer = connect(0, 0)) {
      oldPeer.send(get(1)).readValue();
      startFault(Fault.Kind.MUTE, 0, 1);
      try (Peer newPeer = connect(0, 0)) {
        newPeer.send(get(2)).assertSilent();
        assertEquals("03", id(oldPeer.send(get(3)).readValue()));
      }
    }
  }

  @Test
  void refusingServerListensAgainAtTheSameAddress() throws Exception {
    InetSocketAddress address = fleetServer.serverAddress(0, 0);
    startFault(Fault.Kind.REFUSE, 0, 1);
    assertThrows(ConnectException.class, () -> new Peer(address, TIMEOUT_MILLIS));
    endFault(Fault.Kind.REFUSE, 0);
    try (Peer peer = connect(0, 0)) {
      assertEquals(address, fleetServer.serverAddress(0, 0));
      assertEquals("01", id(peer.send(get(1)).readValue()));
    }
  }

  @Test
  void vanishedServerSendsNothingAndAcceptsNoConnections() throws Exception {
    try (Peer oldPeer = connect(0, 0)) {
      oldPeer.send(get(1)).readValue();
      startFault(Fault.Kind.VANISH, 0, 1);
      oldPeer.send(get(2)).assertSilent();
      assertThrows(
          SocketTimeoutException.class,
          () -> new Peer(fleetServer.serverAddress(0, 0), SILENCE_MILLIS));
      long before = clock.now();
      endFault(Fault.Kind.VANISH, 0);
      assertEquals("02", id(oldPeer.readValue()));
      try (Peer newPeer = connect(0, 0)) {
        assertEquals("03", id(newPeer.send(get(3)).readValue()));
        assertEquals("04", id(newPeer.send(get(4)).readValue()));
      }
      firstByteNanos.remove();
      firstByteNanos.remove();
      assertTrue(
          firstByteNanos.remove() < before, "input on a new connection may be a retransmission");
      assertTrue(firstByteNanos.remove() > before, "later input on the same connection is new");
    }
  }

  @Test
  void killedServerResetsAndRefusesUntilItsSuccessorListens() throws Exception {
    InetSocketAddress address = fleetServer.serverAddress(0, 0);
    try (Peer peer = connect(0, 0)) {
      peer.send(get(1)).readValue();
      startFault(Fault.Kind.REPLACE, 0, 1);
      assertThrows(IOException.class, peer::readValue);
      assertThrows(ConnectException.class, () -> new Peer(address, TIMEOUT_MILLIS));
      endFault(Fault.Kind.REPLACE, 0);
    }
    events.clear();
    try (Peer peer = connect(0, 0)) {
      peer.send(get(2)).readValue();
      assertEquals("c1-2 0 02", nextEvent());
    }
  }

  @Test
  void discoverySendsEachRouterItsOwnAddressesAndCompletesItsWatch() throws Exception {
    try (Peer peer = new Peer(fleetServer.discoveryAddress(1), TIMEOUT_MILLIS)) {
      peer.send(HttpWriter.get("/registry/instances", "x").toString());
      Json list = JsonReader.read(peer.readHttp().body());
      InetSocketAddress own = fleetServer.serverAddress(1, 1);
      assertEquals("true", list.get("whole").asText(""));
      assertEquals(
          "127.0.0.1:" + own.getPort(), list.get("hosts").items().get(1).get("dial").asText(""));
      assertNotEquals(own, fleetServer.serverAddress(0, 1));
      String watch = "/registry/instances?after=" + list.get("seq").asText("") + "&wait_ms=20000";
      peer.send(HttpWriter.get(watch, "x").toString());
      startFault(Fault.Kind.DRAIN, 0, 1);
      Json change = JsonReader.read(peer.readHttp().body());
      assertEquals("draining", change.get("hosts").items().get(0).get("health").asText(""));
      fleetServer.apply(() -> fleet.startFault(Fault.Kind.DISCOVERY_OUT, 1));
      peer.send(HttpWriter.get("/registry/instances", "x").toString());
      assertEquals(503, peer.readHttp().status());
    }
  }

  @Test
  void corruptedResponsesDifferFromValidOnes() throws Exception {
    startFault(Fault.Kind.SPOIL, 0, 1);
    int corrupted = 0;
    for (int i = 10; i < 40; i++) {
      try (Peer peer = connect(0, 0)) {
        peer.socket.setSoTimeout(SILENCE_MILLIS);
        peer.send(get(i));
        corrupted += isCorrupted(peer) ? 1 : 0;
      }
    }
    assertTrue(corrupted >= 20, corrupted + " of 30 responses were corrupted");
  }

  /** Returns whether the input is not a complete value, or has more bytes behind it. */
  private static boolean isCorrupted(Peer peer) throws IOException {
    try {
      return !(peer.readValue() instanceof RespValue.Array) || peer.in.size() > 0;
    } catch (ProtocolException | SocketTimeoutException e) {
      return true;
    }
  }

  @Test
  void controlPortRepliesToEachLine() throws Exception {
    InetSocketAddress control = fleetServer.openControlPort(0, line -> "reply " + line);
    try (Peer peer = new Peer(control, TIMEOUT_MILLIS)) {
      peer.send("one\ntwo\n");
      while (peer.in.size() < 22) {
        assertTrue(peer.read());
      }
      assertEquals("reply one\n\nreply two\n\n", peer.in.slice(0, peer.in.size()).toString());
    }
  }
}
