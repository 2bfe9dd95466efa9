package beaconturn.net.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import beaconturn.net.TestPeer;
import beaconturn.stats.Counters;
import beaconturn.stats.RequestEnd;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Calls on the second address; the clock is the test's, and so is what the calls reach. */
@Timeout(30)
class AdminServerTest implements AdminOperations {
  private static final long SECOND = 1_000_000_000;
  @TempDir private Path folder;
  private final AtomicLong now = new AtomicLong(SECOND);
  private final BlockingQueue<ServerOverride> overrides = new LinkedBlockingQueue<>();
  private volatile String notReady;
  private final Counters counters = new Counters();
  private final Map<AdminServer, CompletableFuture<Void>> open = new HashMap<>();
  private final List<TestPeer.Line> callers = new ArrayList<>();
  private AdminServer address;

  @Override
  public String notReadyReason() {
    return notReady;
  }

  /** Server {@code s-1} is known; of one that is called {@code s-slow} nothing is heard again. */
  @Override
  public void applyOverride(
      ServerOverride override, boolean fromElsewhere, Consumer<Boolean> known) {
    overrides.add(override);
    if (!override.id().equals("s-slow")) {
      known.accept(fromElsewhere || override.id().equals("s-1"));
    }
  }

  private Path file() {
    return folder.resolve("hand");
  }

  private AdminServer open(boolean shared) throws IOException {
    AdminServer opened =
        new AdminServer(
            new InetSocketAddress("127.0.0.1", 0),
            this,
            counters,
            new ServerOverrideFile(file(), shared),
            now::get);
    open.put(opened, CompletableFuture.runAsync(opened, task -> new Thread(task).start()));
    return opened;
  }

  @BeforeEach
  void open() throws IOException {
    address = open(false);
  }

  @AfterEach
  void close() {
    open.keySet().forEach(AdminServer::close);
    // Fails if one of them did: a stop ends the callers that are there.
    open.values().forEach(CompletableFuture::join);
    callers.forEach(TestPeer.Line::close);
  }

  private TestPeer.Line say(String text) throws IOException {
    TestPeer.Line caller = TestPeer.Line.to(address.address());
    callers.add(caller);
    caller.write(text);
    return caller;
  }

  private String call(String text) throws IOException {
    return say(text).rest();
  }

  @Test
  void readySaysYesOnceTheRouterServesAndWhyNotBefore() throws IOException {
    notReady = "starting";
    assertEquals("NAK starting\n", call("ready\n"));
    notReady = null;
    assertEquals("ACK\n", call("ready\r\n"));
  }

  @Test
  void aCallInSingleBytesOrEndedByItsCallersEndIsACall() throws IOException {
    say("half a call");
    TestPeer.Line slow = say("");
    for (String piece : "ready\n".split("")) {
      slow.write(piece);
    }
    assertEquals("ACK\n", slow.rest());
    TestPeer.Line ended = say("ready");
    ended.endOutput();
    assertEquals("ACK\n", ended.rest());
  }

  @Test
  void whatIsNoCallGetsANoWithTheReason() throws IOException {
    assertEquals("NAK no such call\n", call("\n"));
    assertEquals("NAK no such call\n", call("GET / HTTP/1.1\n"));
    assertEquals("NAK an id is missing\n", call("disable-server\n"));
    assertEquals("NAK more words than the call takes\n", call("enable-server s-1 s-2\n"));
    assertEquals("NAK more words than the call takes\n", call("ready now\n"));
    assertEquals(
        "NAK the id is too long or of odd characters\n",
        call("disable-server " + "x".repeat(200) + "\n"));
    assertEquals("NAK the call is too long\n", call("x".repeat(512)));
    assertEquals("NAK no cache server has this id\n", call("disable-server s-2\n"));
    assertEquals(1, overrides.size());
  }

  @Test
  void aHundredSilentCallersHoldUpNobody() throws IOException {
    for (int i = 0; i < 100; i++) {
      say("r");
    }
    assertEquals("ACK\n", call("ready\n"));
    // The oldest made room long ago.
    assertEquals("", callers.get(0).rest());
    now.addAndGet(6 * SECOND);
    assertEquals("", callers.get(99).rest());
  }

  @Test
  void aCallThatTheModuleDoesNotTakeInTimeIsAnsweredAllTheSame() throws Exception {
    TestPeer.Line caller = say("disable-server s-slow\n");
    overrides.take();
    now.addAndGet(SECOND);
    assertEquals("ACK\n", caller.rest());
    assertTrue(Files.readString(file()).contains("out s-slow "));
  }

  @Test
  void figuresAreLinesThatEndWithTheirMark() throws IOException {
    counters.declareClass("read");
    counters.requestAccepted();
    counters.requestAccepted();
    counters.requestEnded("put", RequestEnd.REJECTED);
    counters.attemptWritten();
    counters.serverCounts(10, 2);
    assertEquals(
        List.of(
            "app.answered.put:0|c",
            "app.answered.read:0|c",
            "app.deferred.put:1|c",
            "app.deferred.read:0|c",
            "app.errored.put:0|c",
            "app.errored.read:0|c",
            "app.sends:1|c",
            "app.current:1|g",
            "app.cluster_size:10|g",
            "app.cluster_unhealthy:2|g",
            "app.conf_loaded:0|c",
            "app.conf_invalid:0|c",
            "--"),
        call("show-stat\n").lines().toList());
  }

  @Test
  void whatOneProcessOfARouterIsToldTheOtherFollows() throws Exception {
    open(true);
    assertEquals("ACK\n", call("disable-server s-1\n"));
    ServerOverride said = overrides.take();
    now.addAndGet(SECOND);
    assertEquals(said, overrides.take());
    assertEquals("ACK\n", call("enable-server s-1\n"));
    assertEquals(false, overrides.take().excluded());
    now.addAndGet(SECOND);
    assertEquals(false, overrides.take().excluded());
  }
}
