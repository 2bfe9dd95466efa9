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

/** The stand-ins on real loopback sockets, as a router meets them. */
@Timeout(60)
class EmulatedFleetServerTest {
  private static final long MILLI = 1_000_000;
  private static final long SECOND = 1000 * MILLI;
  private static final int PATIENCE_MILLIS = 20_000;
  private static final int SILENCE_MILLIS = 300;
  private static final String GET =
      "*4\r\n$5\r\nC.GET\r\n$1\r\nk\r\n$2\r\n%02d\r\n$13\r\nc=read,d=9000\r\n";
  private final BlockingQueue<String> seen = new LinkedBlockingQueue<>();
  private final BlockingQueue<Long> firstAt = new LinkedBlockingQueue<>();
  private final Clock clock = Clock.system();
  private final EmulatedFleet world;
  private final EmulatedFleetServer surroundings;

  EmulatedFleetServerTest() throws IOException {
    CacheServerSpec shape =
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
    EmulatedFleet.Spec parts =
        new EmulatedFleet.Spec(
            List.of(
                new EmulatedFleet.Member("c1", "east", "kind", 0, 1, shape),
                new EmulatedFleet.Member("c2", "east", "kind", 0, 1, shape)),
            new OriginModel.Spec(4, 100, MILLI, 8, SECOND, SECOND),
            List.of(new WorkCost("read", MILLI, 20, false, false, 0, "all")),
            0,
            100 * MILLI);
    HistoryRecorder witness =
        new HistoryRecorder() {
          @Override
          public void commandReceived(
              long at, String server, int router, long number, CacheCommand c, long work) {
            seen.add(server + " " + router + " " + c.id());
            firstAt.add(c.firstByteNanos());
          }

          @Override
          public void connectionClosed(long at, long turn, long connection) {
            seen.add("ended");
          }

          @Override
          public void invalidInput(long at, String server, int router, String why) {
            seen.add("unreadable");
          }
        };
    world =
        new EmulatedFleet(new EventScheduler(clock.now()), parts, new RandomSources(1), witness);
    surroundings = new EmulatedFleetServer(world, clock::now, 2, 0);
    surroundings.start();
  }

  @AfterEach
  void end() {
    surroundings.close();
  }

  private String seen() throws InterruptedException {
    return seen.poll(PATIENCE_MILLIS, TimeUnit.MILLISECONDS);
  }

  private void begin(Fault.Kind kind, int place, double amount) {
    surroundings.apply(() -> world.startFault(kind, place, amount));
  }

  private void end(Fault.Kind kind, int place) {
    surroundings.apply(() -> world.endFault(kind, place));
  }

  /** A connection as a router holds it. */
  private static final class Peer implements Closeable {
    private final Socket socket = new Socket();
    private final InputBuffer in = new InputBuffer();

    Peer(InetSocketAddress to, int connectMillis) throws IOException {
      socket.connect(to, connectMillis);
      socket.setSoTimeout(PATIENCE_MILLIS);
    }

    Peer say(String text) throws IOException {
      socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
      return this;
    }

    private boolean read() throws IOException {
      int room = in.ensureRoom();
      int got = socket.getInputStream().read(in.array(), in.end(), room);
      if (got > 0) {
        in.filled(got);
      }
      return got >= 0;
    }

    RespValue answer() throws IOException, ProtocolException {
      RespReader reader = new RespReader(1000);
      RespValue value = reader.next(in);
      while (value == null && read()) {
        value = reader.next(in);
      }
      return value;
    }

    HttpResponse http() throws IOException, ProtocolException {
      HttpReader reader = new HttpReader(10_000);
      HttpResponse value = reader.next(in, false);
      while (value == null && read()) {
        value = reader.next(in, false);
      }
      return value;
    }

    void silent() throws IOException {
      socket.setSoTimeout(SILENCE_MILLIS);
      assertThrows(SocketTimeoutException.class, this::read);
      socket.setSoTimeout(PATIENCE_MILLIS);
    }

    @Override
    public void close() throws IOException {
      socket.close();
    }
  }

  private Peer to(int router, int place) throws IOException {
    return new Peer(surroundings.serverAddress(router, place), PATIENCE_MILLIS);
  }

  private static String get(int id) {
    return String.format(GET, id);
  }

  private static String id(RespValue answer) {
    return ((RespValue.Bulk) ((RespValue.Array) answer).items().get(0))
        .bytes()
        .toString()
        .split(" ")[3];
  }

  @Test
  void itSpeaksTheProtocolAndKnowsWhichRouterAsks() throws Exception {
    try (Peer peer = to(1, 0)) {
      peer.say("*1\r\n$4\r\nPING\r\n*2\r\n$6\r\nSELECT\r\n$1\r\n0\r\n*1\r\n$5\r\nHELLO\r\n");
      peer.say(get(1) + get(2));
      assertEquals("+PONG", peer.answer().frame().toString().trim());
      assertEquals("+OK", peer.answer().frame().toString().trim());
      assertEquals("-ERR unknown command", peer.answer().frame().toString().trim());
      List<RespValue> parts = ((RespValue.Array) peer.answer()).items();
      String how = parts.get(1).frame().toString().trim();
      assertTrue(how.endsWith("miss") || how.endsWith("pending"), how);
      assertTrue(parts.get(2).frame().toString().contains("inflight="));
      assertEquals("02", id(peer.answer()));
    }
    assertEquals("c1 1 01", seen());
    assertEquals("c1 1 02", seen());
    assertEquals("ended", seen());
  }

  @Test
  void whatCannotBeReadIsTurnedAwayAndNoted() throws Exception {
    try (Peer peer = to(0, 0)) {
      peer.say("*4\r\n$5\r\nC.GET\r\n$1\r\nk\r\n$2\r\n01\r\n$6\r\nc=read\r\n");
      assertTrue(peer.answer().frame().toString().startsWith("-SYNTAX "));
      assertEquals(null, peer.answer());
    }
    assertEquals("unreadable", seen());
  }

  @Test
  void aStalledServerTakesAndSaysNothingUntilItIsOver() throws Exception {
    begin(Fault.Kind.STALL, 0, 1);
    try (Peer peer = to(0, 0)) {
      peer.say(get(1));
      assertEquals("c1 0 01", seen());
      peer.silent();
      end(Fault.Kind.STALL, 0);
      assertEquals("01", id(peer.answer()));
    }
  }

  @Test
  void aServerThatReadsNothingFindsItAllLater() throws Exception {
    try (Peer peer = to(0, 0)) {
      peer.say(get(1));
      peer.answer();
      seen.clear();
      begin(Fault.Kind.UNREAD, 0, 1);
      peer.say(get(2));
      peer.silent();
      assertEquals(0, seen.size());
      end(Fault.Kind.UNREAD, 0);
      assertEquals("02", id(peer.answer()));
    }
  }

  /** What a drain's rule goes by: when the first byte came, however long the rest takes. */
  @Test
  void aCommandThatIsHalfWrittenCountsFromItsFirstByte() throws Exception {
    try (Peer peer = to(0, 0)) {
      peer.say(get(1)).answer();
      peer.say(get(2).substring(0, 9));
      long before = clock.now();
      peer.silent();
      peer.say(get(2).substring(9));
      assertEquals("02", id(peer.answer()));
      firstAt.remove();
      long begun = firstAt.remove();
      assertTrue(begun < before + SILENCE_MILLIS * MILLI, "counted from its last byte");
    }
  }

  @Test
  void aMuteServerNeverSpeaksOnNewConnectionsAndGoesOnWithOldOnes() throws Exception {
    try (Peer old = to(0, 0)) {
      old.say(get(1)).answer();
      begin(Fault.Kind.MUTE, 0, 1);
      try (Peer fresh = to(0, 0)) {
        fresh.say(get(2)).silent();
        assertEquals("03", id(old.say(get(3)).answer()));
      }
    }
  }

  @Test
  void aServerThatRefusesIsBackAtTheSameAddress() throws Exception {
    InetSocketAddress address = surroundings.serverAddress(0, 0);
    begin(Fault.Kind.REFUSE, 0, 1);
    assertThrows(ConnectException.class, () -> new Peer(address, PATIENCE_MILLIS));
    end(Fault.Kind.REFUSE, 0);
    try (Peer peer = to(0, 0)) {
      assertEquals(address, surroundings.serverAddress(0, 0));
      assertEquals("01", id(peer.say(get(1)).answer()));
    }
  }

  @Test
  void aMachineThatVanishedSaysNothingAndTakesNoConnections() throws Exception {
    try (Peer old = to(0, 0)) {
      old.say(get(1)).answer();
      begin(Fault.Kind.VANISH, 0, 1);
      old.say(get(2)).silent();
      assertThrows(
          SocketTimeoutException.class, () -> new Peer(surroundings.serverAddress(0, 0), SILENCE_MILLIS));
      long before = clock.now();
      end(Fault.Kind.VANISH, 0);
      assertEquals("02", id(old.answer()));
      try (Peer fresh = to(0, 0)) {
        assertEquals("03", id(fresh.say(get(3)).answer()));
        assertEquals("04", id(fresh.say(get(4)).answer()));
      }
      firstAt.remove();
      firstAt.remove();
      assertTrue(firstAt.remove() < before, "its kernel may have sent it again from before");
      assertTrue(firstAt.remove() > before, "on a connection that is up nothing is old");
    }
  }

  @Test
  void aKilledServerResetsAndRefusesAndItsSuccessorStandsAtItsAddress() throws Exception {
    InetSocketAddress address = surroundings.serverAddress(0, 0);
    try (Peer peer = to(0, 0)) {
      peer.say(get(1)).answer();
      begin(Fault.Kind.REPLACE, 0, 1);
      assertThrows(IOException.class, peer::answer);
      assertThrows(ConnectException.class, () -> new Peer(address, PATIENCE_MILLIS));
      end(Fault.Kind.REPLACE, 0);
    }
    seen.clear();
    try (Peer peer = to(0, 0)) {
      peer.say(get(2)).answer();
      assertEquals("c1-2 0 02", seen());
    }
  }

  @Test
  void discoveryAnswersEachRouterWithItsOwnAddressesAndWakesItsWatch() throws Exception {
    try (Peer peer = new Peer(surroundings.discoveryAddress(1), PATIENCE_MILLIS)) {
      peer.say(HttpWriter.get("/registry/instances", "x").toString());
      Json list = JsonReader.read(peer.http().body());
      InetSocketAddress own = surroundings.serverAddress(1, 1);
      assertEquals("true", list.get("whole").word(""));
      assertEquals(
          "127.0.0.1:" + own.getPort(), list.get("hosts").items().get(1).get("dial").word(""));
      assertNotEquals(own, surroundings.serverAddress(0, 1));
      String watch = "/registry/instances?after=" + list.get("seq").word("") + "&wait_ms=20000";
      peer.say(HttpWriter.get(watch, "x").toString());
      begin(Fault.Kind.DRAIN, 0, 1);
      Json change = JsonReader.read(peer.http().body());
      assertEquals("draining", change.get("hosts").items().get(0).get("health").word(""));
      surroundings.apply(() -> world.startFault(Fault.Kind.DISCOVERY_OUT, 1));
      peer.say(HttpWriter.get("/registry/instances", "x").toString());
      assertEquals(503, peer.http().status());
    }
  }

  @Test
  void spoiltAnswersAreNeverTheWholeOfAGoodOne() throws Exception {
    begin(Fault.Kind.SPOIL, 0, 1);
    int spoilt = 0;
    for (int i = 10; i < 40; i++) {
      try (Peer peer = to(0, 0)) {
        peer.socket.setSoTimeout(SILENCE_MILLIS);
        peer.say(get(i));
        spoilt += bad(peer) ? 1 : 0;
      }
    }
    assertTrue(spoilt >= 20, spoilt + " of 30 answers were spoilt or had more behind them");
  }

  /** Whether what came is no whole value, or has something behind it. */
  private static boolean bad(Peer peer) throws IOException {
    try {
      return !(peer.answer() instanceof RespValue.Array) || peer.in.size() > 0;
    } catch (ProtocolException | SocketTimeoutException e) {
      return true;
    }
  }

  @Test
  void theControlPortAnswersEachLine() throws Exception {
    InetSocketAddress control = surroundings.openControlPort(0, line -> "heard " + line);
    try (Peer peer = new Peer(control, PATIENCE_MILLIS)) {
      peer.say("one\ntwo\n");
      while (peer.in.size() < 22) {
        assertTrue(peer.read());
      }
      assertEquals("heard one\n\nheard two\n\n", peer.in.slice(0, peer.in.size()).toString());
    }
  }
}
