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

/** Tests commands on the admin address with a simulated clock and simulated router operations. */
@Timeout(30)
class AdminServerTest implements AdminOperations {
  private static final long SECOND_NANOS = 1_000_000_000;
  @TempDir private Path folder;
  private final AtomicLong nowNanos = new AtomicLong(SECOND_NANOS);
  private final BlockingQueue<ServerOverride> overrides = new LinkedBlockingQueue<>();
  private volatile String notReadyReason;
  private final Counters counters = new Counters();
  private final Map<AdminServer, CompletableFuture<Void>> runningServers = new HashMap<>();
  private final List<TestPeer.Connection> callers = new ArrayList<>();
  private AdminServer server;

  @Override
  public String notReadyReason() {
    return notReadyReason;
  }

  /** Only {@code s-1} is known; an override of {@code s-slow} is never acknowledged. */
  @Override
  public void applyOverride(
      ServerOverride override, boolean fromOtherProcess, Consumer<Boolean> known) {
    overrides.add(override);
    if (!override.id().equals("s-slow")) {
      known.accept(fromOtherProcess || override.id().equals("s-1"));
    }
  }

  private Path file() {
    return folder.resolve("hand");
  }

  private AdminServer startServer(boolean sharedFile) throws IOException {
    AdminServer started =
        new AdminServer(
            new InetSocketAddress("127.0.0.1", 0),
            this,
            counters,
            new ServerOverrideFile(file(), sharedFile),
            nowNanos::get);
    runningServers.put(
        started, CompletableFuture.runAsync(started, task -> new Thread(task).start()));
    return started;
  }

  @BeforeEach
  void open() throws IOException {
    server = startServer(false);
  }

  @AfterEach
  void close() {
    runningServers.keySet().forEach(AdminServer::close);
    // Fails the test if a server did not stop cleanly while connections were open.
    runningServers.values().forEach(CompletableFuture::join);
    callers.forEach(TestPeer.Connection::close);
  }

  private TestPeer.Connection send(String text) throws IOException {
    TestPeer.Connection caller = TestPeer.Connection.to(server.address());
    callers.add(caller);
    caller.write(text);
    return caller;
  }

  private String call(String text) throws IOException {
    return send(text).readRemaining();
  }

  @Test
  void readyIsRejectedWithReasonUntilRouterServes() throws IOException {
    notReadyReason = "starting";
    assertEquals("NAK starting\n", call("ready\n"));
    notReadyReason = null;
    assertEquals("ACK\n", call("ready\r\n"));
  }

  @Test
  void commandInSingleBytesOrWithoutNewlineIsAccepted() throws IOException {
    send("half a call");
    TestPeer.Connection slow = send("");
    for (String piece : "ready\n".split("")) {
      slow.write(piece);
    }
    assertEquals("ACK\n", slow.readRemaining());
    TestPeer.Connection ended = send("ready");
    ended.shutdownOutput();
    assertEquals("ACK\n", ended.readRemaining());
  }

  @Test
  void invalidCommandIsRejectedWithReason() throws IOException {
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
  void idleConnectionsAreEvictedAndTimeOut() throws IOException {
    for (int i = 0; i < 100; i++) {
      send("r");
    }
    assertEquals("ACK\n", call("ready\n"));
    // The oldest connection was evicted.
    assertEquals("", callers.get(0).readRemaining());
    nowNanos.addAndGet(6 * SECOND_NANOS);
    assertEquals("", callers.get(99).readRemaining());
  }

  @Test
  void overrideIsAcknowledgedAfterTimeoutIfRoutingThreadIsBusy() throws Exception {
    TestPeer.Connection caller = send("disable-server s-slow\n");
    overrides.take();
    nowNanos.addAndGet(SECOND_NANOS);
    assertEquals("ACK\n", caller.readRemaining());
    assertTrue(Files.readString(file()).contains("out s-slow "));
  }

  @Test
  void metricsAreLinesFollowedByEndMarker() throws IOException {
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
  void overridesAreAppliedByOtherProcessOfTheRouter() throws Exception {
    startServer(true);
    assertEquals("ACK\n", call("disable-server s-1\n"));
    ServerOverride override = overrides.take();
    nowNanos.addAndGet(SECOND_NANOS);
    assertEquals(override, overrides.take());
    assertEquals("ACK\n", call("enable-server s-1\n"));
    assertEquals(false, overrides.take().excluded());
    nowNanos.addAndGet(SECOND_NANOS);
    assertEquals(false, overrides.take().excluded());
  }
}
