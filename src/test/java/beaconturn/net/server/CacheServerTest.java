package beaconturn.net.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import beaconturn.core.AttemptResult;
import beaconturn.core.ClientRequest;
import beaconturn.core.Clock;
import beaconturn.core.OutboundAttempt;
import beaconturn.core.RequestDescription;
import beaconturn.core.RoutingMessage;
import beaconturn.core.Samples;
import beaconturn.core.StreamingResponse;
import beaconturn.decision.AttemptOutcome;
import beaconturn.decision.CacheStatus;
import beaconturn.net.TestPeer;
import beaconturn.net.client.RequestParser;
import beaconturn.net.client.RespClientRequest;
import beaconturn.net.io.BoundedPipe;
import beaconturn.net.io.ConnectionLimit;
import beaconturn.protocol.RespWriter;
import beaconturn.protocol.Slice;
import beaconturn.stats.RequestMetrics;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests the mapping of a cache server's behaviour to attempt outcomes, over real sockets. */
public class CacheServerTest {
  private static final long SECOND_NANOS = 1_000_000_000;
  private static final String VALUE = "*3\r\n$2\r\nva\r\n$4\r\nmiss\r\n$-1\r\n";
  private static final String NEXT_VALUE = "*3\r\n$4\r\nnext\r\n$4\r\nmiss\r\n$-1\r\n";
  private static final String STREAMED_VALUE =
      "*3\r\n$70000\r\n" + "v".repeat(70_000) + "\r\n$3\r\nhit\r\n$-1\r\n";
  private final Clock system = Clock.system();
  private final AtomicLong clockOffsetNanos = new AtomicLong();

  /** The time at which the clock is frozen, or 0 while it runs. */
  private final AtomicLong frozenAtNanos = new AtomicLong();

  private final Clock clock =
      () -> frozenAtNanos.get() != 0 ? frozenAtNanos.get() : system.now() + clockOffsetNanos.get();
  private final BlockingQueue<RoutingMessage> routingMessages = new LinkedBlockingQueue<>();
  private static final long MEMORY_BYTES = 16 << 20;
  public static final RespClientRequest.ParseContext READING =
      new RespClientRequest.ParseContext(null, "read", 0, RequestMetrics.NONE);
  private int sentAttempts;

  static CacheServerEnvironment environment(
      Clock clock,
      Consumer<RoutingMessage> routingMessages,
      ConnectionLimit connectionLimit,
      long idleTimeoutNanos,
      WorkerPool workers) {
    return environment(
        clock,
        routingMessages,
        connectionLimit,
        new ReceivedResponseMemory(MEMORY_BYTES),
        idleTimeoutNanos,
        workers);
  }

  static CacheServerEnvironment environment(
      Clock clock,
      Consumer<RoutingMessage> routingMessages,
      ConnectionLimit connectionLimit,
      ReceivedResponseMemory responseMemory,
      long idleTimeoutNanos,
      WorkerPool workers) {
    CacheServerThread thread = new CacheServerThread(idleTimeoutNanos);
    thread.start();
    return new CacheServerEnvironment(
        clock,
        routingMessages,
        connectionLimit,
        new CacheResponseReader(Samples.read().routing()),
        responseMemory,
        SECOND_NANOS,
        idleTimeoutNanos,
        RequestMetrics.NONE,
        thread,
        workers,
        () -> true);
  }

  private CacheServer server(InetSocketAddress address, int connections, long idleTimeoutNanos) {
    CacheServer server =
        new CacheServer(
            environment(
                clock,
                routingMessages::add,
                new ConnectionLimit(connections),
                idleTimeoutNanos,
                new WorkerPool("test-cache", SECOND_NANOS)),
            "s-1",
            address);
    server.start();
    return server;
  }

  private CacheServer server(TestPeer peer) {
    return server(peer.address(), 100, 60 * SECOND_NANOS);
  }

  private OutboundAttempt attempt(Slice value) {
    String name = "key-" + sentAttempts;
    ClientRequest request =
        new RespClientRequest(
            new RequestDescription(0, 1, false, false, 0, 0, 0),
            clock.now() + 100 * SECOND_NANOS,
            new RequestParser.Parts(
                Slice.of("$5\r\nC.GET\r\n" + RespWriter.bulk(name) + RespWriter.bulk("id")),
                Slice.of("id"),
                Map.of("d", "1"),
                value),
            READING,
            () -> {});
    return new OutboundAttempt(++sentAttempts, 0, 7, request, clock.now(), 100 * SECOND_NANOS);
  }

  /** Sends an attempt after the connections of earlier responses have settled. */
  private OutboundAttempt send(CacheServer server) {
    clockOffsetNanos.addAndGet(SECOND_NANOS);
    OutboundAttempt attempt = attempt(null);
    assertTrue(server.send(attempt));
    return attempt;
  }

  private AttemptResult awaitResult(OutboundAttempt attempt) throws InterruptedException {
    RoutingMessage.AttemptCompleted completed =
        (RoutingMessage.AttemptCompleted) routingMessages.poll(20, TimeUnit.SECONDS);
    assertNotNull(completed, "no result");
    assertEquals(attempt, completed.attempt());
    return completed.result();
  }

  private void assertOutcome(AttemptOutcome expected, TestPeer.Script script)
      throws InterruptedException {
    try (TestPeer peer = new TestPeer(script)) {
      assertEquals(expected, awaitResult(send(server(peer))).outcome());
      assertEquals(1, peer.connections(), "the attempt is not retried");
    }
  }

  @Test
  void readsResponseThatArrivesByteByByte() throws InterruptedException {
    try (TestPeer peer =
        new TestPeer(
            line -> {
              line.readCommand();
              for (int i = 0; i < VALUE.length(); i++) {
                line.write(VALUE.substring(i, i + 1));
              }
              line.readCommand();
            })) {
      AttemptResult result = awaitResult(send(server(peer)));
      assertEquals(AttemptOutcome.OK, result.outcome());
      assertEquals(CacheStatus.MISS, result.cacheStatus());
      assertEquals("$2\r\nva\r\n", result.response().toString());
    }
  }

  @Test
  void errorResponseEndsAsError() throws InterruptedException {
    assertOutcome(
        AttemptOutcome.ERROR,
        line -> {
          line.readCommand();
          line.write("-ERR failed\r\n");
          line.readCommand();
        });
  }

  /** Guards against writing an attempt that was queued when the server started to drain. */
  @Test
  void doesNotWriteQueuedAttemptToDrainingServer() throws InterruptedException {
    try (TestPeer peer = new TestPeer(TestPeer.Connection::readCommand)) {
      CacheServer server = server(peer);
      server.acceptsRequests(false);
      assertEquals(AttemptOutcome.SUPERSEDED, awaitResult(send(server)).outcome());
      assertEquals(0, peer.connections());
    }
  }

  /** A writer checks the client itself, as the routing thread is notified of a disconnect later. */
  @Test
  void doesNotWriteAttemptOfAbandonedRequest() throws InterruptedException {
    try (TestPeer peer = new TestPeer(TestPeer.Connection::readCommand)) {
      CacheServer server = server(peer);
      clockOffsetNanos.addAndGet(SECOND_NANOS);
      OutboundAttempt attempt = attempt(null);
      ((RespClientRequest) attempt.request()).abandoned();
      assertTrue(server.send(attempt));
      assertEquals(AttemptOutcome.SUPERSEDED, awaitResult(attempt).outcome());
      assertEquals(0, peer.connections());
    }
  }

  /** A request must not reach a server with a deadline that has already passed. */
  @Test
  void doesNotWriteAttemptThatHasTimedOut() throws InterruptedException {
    try (TestPeer peer = new TestPeer(TestPeer.Connection::readCommand)) {
      CacheServer server = server(peer);
      OutboundAttempt attempt = attempt(null);
      clockOffsetNanos.addAndGet(101 * SECOND_NANOS);
      assertTrue(server.send(attempt));
      assertEquals(AttemptOutcome.SUPERSEDED, awaitResult(attempt).outcome());
      assertEquals(0, peer.connections());
    }
  }

  /** The client may disconnect while the connection is being opened. */
  @Test
  void doesNotWriteIfRequestIsAbandonedWhileConnecting() throws Exception {
    try (TestPeer peer = new TestPeer(line -> line.note(line.readCommand()))) {
      CacheConnection connection =
          new CacheConnection(
              peer.address(),
              0,
              environment(
                  clock,
                  routingMessages::add,
                  new ConnectionLimit(1),
                  60 * SECOND_NANOS,
                  new WorkerPool("test-cache", SECOND_NANOS)),
              new ReceivedResponseMemory(MEMORY_BYTES).ofServer(),
              new IgnoringListener());
      OutboundAttempt attempt = attempt(null);
      ((RespClientRequest) attempt.request()).abandoned();
      connection.execute(attempt);
      assertEquals("end", peer.note());
    }
  }

  /** Permits every write and ignores all events. */
  private static final class IgnoringListener implements CacheConnectionListener {
    @Override
    public boolean mayWrite() {
      return true;
    }

    @Override
    public void responseStarted(OutboundAttempt attempt, long atNanos, BoundedPipe pipe) {}

    @Override
    public void attemptEnded(
        CacheConnection connection,
        OutboundAttempt attempt,
        AttemptResult result,
        boolean reusable) {}

    @Override
    public void connectionStale(OutboundAttempt attempt) {}

    @Override
    public void requestWritten() {}

    @Override
    public void malformedResponse() {}

    @Override
    public void connectionClosed() {}
  }

  @Test
  void busyResponseEndsAsRejected() throws InterruptedException {
    assertOutcome(
        AttemptOutcome.REJECTED,
        line -> {
          line.readCommand();
          line.write("-BUSY\r\n");
        });
  }

  @Test
  void connectionLostAfterRequestWasWrittenEndsAsReset() throws InterruptedException {
    assertOutcome(AttemptOutcome.RESET, TestPeer.Connection::readCommand);
    assertOutcome(
        AttemptOutcome.RESET,
        line -> {
          line.readCommand();
          line.reset();
        });
    assertOutcome(
        AttemptOutcome.RESET,
        line -> {
          line.readCommand();
          line.write(VALUE.substring(0, VALUE.length() - 1));
        });
  }

  @Test
  void responseOfAnotherProtocolEndsAsReset() throws InterruptedException {
    assertOutcome(
        AttemptOutcome.RESET,
        line -> {
          line.readCommand();
          line.write("HTTP/1.1 200 OK\r\n");
          line.readCommand();
        });
  }

  /**
   * The request may have run, and later bytes on the connection cannot be assigned to a request.
   */
  @Test
  void malformedResponseEndsAsResetAndClosesConnection() throws InterruptedException {
    for (String malformed :
        List.of(
            ":5\r\n",
            "+OK\r\n",
            "-NOISE x\r\n",
            "$2\r\nva\r\n",
            "*-1\r\n",
            "*0\r\n",
            "*1\r\n$2\r\nva\r\n",
            "*1\r\n$-1\r\n",
            "*3\r\n:1\r\n$3\r\nhit\r\n$-1\r\n",
            "*3\r\n$-5\r\n",
            "*3\r\n$3000000000\r\nvvvv",
            "*3\r\n$1\r\nva\r\n",
            "\u0000\u00ff\n",
            "*99\r\n",
            "x".repeat(2000))) {
      try (TestPeer peer =
          new TestPeer(
              line -> {
                line.readCommand();
                line.write(malformed);
                line.note(line.readCommand());
              })) {
        assertEquals(AttemptOutcome.RESET, awaitResult(send(server(peer))).outcome(), malformed);
        assertTrue(List.of("end", "broken").contains(peer.note()), malformed);
      }
    }
  }

  /** A duplicate after a valid response must not be taken for the response to the next request. */
  @Test
  void excessBytesAfterResponseCloseConnection() throws InterruptedException {
    for (String more : List.of(VALUE, VALUE.substring(0, 5), "noise")) {
      try (TestPeer peer =
          new TestPeer(
              line -> {
                line.readCommand();
                line.write(VALUE + more);
                line.note(line.readCommand());
              })) {
        CacheServer server = server(peer);
        assertEquals(AttemptOutcome.OK, awaitResult(send(server)).outcome());
        assertTrue(List.of("end", "broken").contains(peer.note()));
        assertEquals(AttemptOutcome.OK, awaitResult(send(server)).outcome());
        assertEquals(2, peer.connections());
      }
    }
  }

  /** As above, with the excess bytes arriving when the connection is already idle. */
  @Test
  void bytesOnIdleConnectionCloseIt() throws InterruptedException {
    for (String more : List.of(VALUE, VALUE.substring(0, 5), "n")) {
      CountDownLatch responseRead = new CountDownLatch(1);
      try (TestPeer peer =
          new TestPeer(
              line -> {
                line.readCommand();
                line.write(VALUE);
                responseRead.await();
                line.write(more);
                line.note(line.readCommand());
              })) {
        CacheServer server = server(peer);
        assertEquals(AttemptOutcome.OK, awaitResult(send(server)).outcome());
        responseRead.countDown();
        assertTrue(List.of("end", "broken").contains(peer.note()));
        assertEquals(AttemptOutcome.OK, awaitResult(send(server)).outcome());
        assertEquals(2, peer.connections());
      }
    }
  }

  /** Excess bytes after a response may still be in transit when the next attempt is sent. */
  @Test
  void doesNotReuseConnectionBeforeItSettles() throws InterruptedException {
    try (TestPeer peer =
        new TestPeer(
            line -> {
              while (!line.readCommand().equals("end")) {
                line.write(VALUE);
              }
            })) {
      CacheServer server = server(peer);
      awaitResult(send(server));
      clockOffsetNanos.addAndGet(-system.now() - clockOffsetNanos.get());
      OutboundAttempt next = attempt(null);
      assertTrue(server.send(next));
      assertEquals(AttemptOutcome.OK, awaitResult(next).outcome());
      assertEquals(2, peer.connections());
    }
  }

  /** A duplicate of a response must not be taken for the response to the next request. */
  @ParameterizedTest
  @ValueSource(longs = {0, 1, 4, 6, 8, 20})
  @Timeout(20)
  void duplicateResponseIsNotServedToTheNextRequest(long lateMillis) throws Exception {
    CountDownLatch nextSent = new CountDownLatch(1);
    try (TestPeer peer =
        new TestPeer(
            line -> {
              line.readCommand();
              line.write(line.isFirst() ? VALUE : NEXT_VALUE);
              TestPeer.await(nextSent);
              line.write(VALUE);
              line.readCommand();
            })) {
      CacheServer server = server(peer);
      long answeredAtNanos = awaitResult(send(server)).endedAtNanos();
      frozenAtNanos.set(answeredAtNanos + lateMillis * SECOND_NANOS / 1000);
      OutboundAttempt next = attempt(null);
      assertTrue(server.send(next));
      TestPeer.until(() -> peer.connections() == 2);
      nextSent.countDown();
      assertEquals("$4\r\nnext\r\n", awaitResult(next).response().toString());
    }
  }

  /**
   * Guards against serving the next client with the duplicate of a streamed response: the time for
   * which the connection is not reused counts from the last byte, not from the first.
   */
  @ParameterizedTest
  @ValueSource(longs = {0, 1, 8, 20})
  @Timeout(20)
  void duplicateOfStreamedResponseIsNotServedToTheNextRequest(long lateMillis) throws Exception {
    CountDownLatch streaming = new CountDownLatch(1);
    CountDownLatch nextSent = new CountDownLatch(1);
    try (TestPeer peer =
        new TestPeer(
            line -> {
              line.readCommand();
              line.write(line.isFirst() ? STREAMED_VALUE.substring(0, 1_000) : NEXT_VALUE);
              TestPeer.await(streaming);
              line.write(line.isFirst() ? STREAMED_VALUE.substring(1_000) : "");
              TestPeer.await(nextSent);
              line.write(STREAMED_VALUE);
              line.readCommand();
            })) {
      CacheServer server = server(peer);
      frozenAtNanos.set(system.now());
      OutboundAttempt first = attempt(null);
      assertTrue(server.send(first));
      discardStream(awaitStreamingStarted().response());
      frozenAtNanos.addAndGet(SECOND_NANOS);
      streaming.countDown();
      assertEquals(AttemptOutcome.OK, awaitResult(first).outcome());
      frozenAtNanos.addAndGet(lateMillis * SECOND_NANOS / 1000);
      OutboundAttempt next = attempt(null);
      assertTrue(server.send(next));
      TestPeer.until(() -> peer.connections() == 2);
      nextSent.countDown();
      assertEquals("$4\r\nnext\r\n", awaitResult(next).response().toString());
    }
  }

  @Test
  void reusesSettledConnectionOfStreamedResponse() throws InterruptedException {
    try (TestPeer peer =
        new TestPeer(
            line -> {
              while (!line.readCommand().equals("end")) {
                line.write(STREAMED_VALUE);
              }
            })) {
      CacheServer server = server(peer);
      for (int i = 0; i < 3; i++) {
        OutboundAttempt attempt = send(server);
        discardStream(awaitStreamingStarted().response());
        assertEquals(AttemptOutcome.OK, awaitResult(attempt).outcome());
      }
      assertEquals(1, peer.connections());
    }
  }

  private RoutingMessage.StreamingStarted awaitStreamingStarted() throws InterruptedException {
    RoutingMessage message = routingMessages.poll(20, TimeUnit.SECONDS);
    return assertInstanceOf(RoutingMessage.StreamingStarted.class, message);
  }

  private static void discardStream(StreamingResponse response) {
    BoundedPipe pipe = (BoundedPipe) response;
    Runnable discard =
        () -> {
          Slice chunk = pipe.next();
          while (chunk != null && chunk != BoundedPipe.END && chunk != BoundedPipe.ABORTED) {
            chunk = pipe.next();
          }
        };
    pipe.onAvailable(discard);
    discard.run();
  }

  @Test
  void refusedConnectionEndsAsConnectFailed() throws InterruptedException {
    TestPeer peer = new TestPeer(TestPeer.Connection::readCommand);
    peer.close();
    assertEquals(AttemptOutcome.CONNECT_FAILED, awaitResult(send(server(peer))).outcome());
  }

  @Test
  void attemptOverConnectionLimitEndsAsNotSent() throws InterruptedException {
    CountDownLatch done = new CountDownLatch(1);
    try (TestPeer peer = new TestPeer(line -> done.await())) {
      CacheServer server = server(peer.address(), 1, 60 * SECOND_NANOS);
      send(server);
      assertEquals(AttemptOutcome.NOT_SENT, awaitResult(send(server)).outcome());
      done.countDown();
    }
  }

  @Test
  void reusesConnectionForSequentialRequests() throws InterruptedException {
    try (TestPeer peer =
        new TestPeer(
            line -> {
              for (String c = line.readCommand(); !c.equals("end"); c = line.readCommand()) {
                line.note(c.split(" ")[1]);
                line.write(VALUE);
              }
            })) {
      CacheServer server = server(peer);
      for (int i = 0; i < 5; i++) {
        assertEquals(AttemptOutcome.OK, awaitResult(send(server)).outcome());
        assertEquals("key-" + i, peer.note());
      }
      assertEquals(1, peer.connections());
    }
  }

  /** A pipelined request would wait for the one before it, and aborting one would abort both. */
  @Test
  void concurrentRequestsUseSeparateConnections() throws InterruptedException {
    CountDownLatch done = new CountDownLatch(1);
    try (TestPeer peer =
        new TestPeer(
            line -> {
              line.note(line.readCommand());
              done.await();
            })) {
      CacheServer server = server(peer);
      send(server);
      send(server);
      peer.note();
      peer.note();
      assertEquals(2, peer.connections());
      done.countDown();
    }
  }

  /**
   * Without a reset, the kernel could still deliver the request of an aborted attempt after a
   * network partition.
   */
  @Test
  void abortResetsConnection() throws InterruptedException {
    try (TestPeer peer =
        new TestPeer(
            line -> {
              line.readCommand();
              line.note("received");
              line.note(line.readCommand());
            })) {
      CacheServer server = server(peer);
      OutboundAttempt attempt = send(server);
      assertEquals("received", peer.note());
      server.abort(attempt);
      assertEquals("broken", peer.note());
    }
  }

  /** A connection that has not settled cannot be reused and must not block a new one. */
  @Test
  void unsettledConnectionsDoNotExhaustConnectionLimit() throws InterruptedException {
    try (TestPeer peer =
        new TestPeer(
            line -> {
              line.readCommand();
              line.write(VALUE);
              line.note(line.readCommand());
            })) {
      CacheServer server = server(peer.address(), 1, 60 * SECOND_NANOS);
      // With the clock frozen, the first connection never settles.
      frozenAtNanos.set(system.now());
      for (int i = 0; i < 2; i++) {
        OutboundAttempt attempt = attempt(null);
        assertTrue(server.send(attempt));
        assertEquals(AttemptOutcome.OK, awaitResult(attempt).outcome());
      }
      assertEquals("end", peer.note());
      assertEquals(2, peer.connections());
    }
  }

  /** The request's next attempt may already be in flight at another server. */
  @Test
  void doesNotWriteAttemptAbortedBeforeItStarted() throws InterruptedException {
    try (TestPeer peer =
        new TestPeer(
            line -> {
              for (String c = line.readCommand(); !c.equals("end"); c = line.readCommand()) {
                line.note(c.split(" ")[1]);
                line.write(VALUE);
              }
            })) {
      CacheServer server = server(peer);
      awaitResult(send(server));
      OutboundAttempt aborted = attempt(null);
      aborted.end(AttemptOutcome.CANCELLED);
      assertTrue(server.send(aborted));
      server.abort(aborted);
      awaitResult(send(server));
      assertEquals("key-0", peer.note());
      assertEquals("key-2", peer.note());
      assertEquals(List.of(), peer.remainingNotes());
    }
  }

  @Test
  void doesNotWriteToConnectionClosedByPeer() throws InterruptedException {
    try (TestPeer peer =
        new TestPeer(
            line -> {
              line.readCommand();
              line.write(VALUE);
              line.disconnect();
              line.note("closed");
            })) {
      CacheServer server = server(peer);
      assertEquals(AttemptOutcome.OK, awaitResult(send(server)).outcome());
      peer.note();
      assertEquals(AttemptOutcome.OK, awaitResult(send(server)).outcome());
      assertEquals(2, peer.connections());
      peer.note();
      // Connections closed by the peer are released even if no further attempt is sent.
      awaitInactive(server);
    }
  }

  private static void awaitInactive(CacheServer server) {
    while (!server.isInactive()) {
      Thread.onSpinWait();
    }
  }

  /** A request that crosses the server's close of an idle connection would end as a reset. */
  @Test
  void closesIdleConnectionAfterTimeout() throws InterruptedException {
    try (TestPeer peer =
        new TestPeer(
            line -> {
              line.readCommand();
              line.write(VALUE);
              line.note(line.readCommand());
            })) {
      awaitResult(send(server(peer.address(), 10, SECOND_NANOS / 20)));
      assertEquals("end", peer.note());
    }
  }

  @Test
  void usesNewAddressForNewConnections() throws InterruptedException {
    try (TestPeer old =
            new TestPeer(
                line -> {
                  line.readCommand();
                  line.write(VALUE);
                  line.note(line.readCommand());
                });
        TestPeer next =
            new TestPeer(
                line -> {
                  line.note(line.readCommand().split(" ")[0]);
                  line.write(VALUE);
                  line.readCommand();
                })) {
      CacheServer server = server(old);
      awaitResult(send(server));
      server.setAddress(next.address());
      assertEquals(AttemptOutcome.OK, awaitResult(send(server)).outcome());
      assertEquals("C.GET", next.note());
      assertEquals("end", old.note(), "the idle connection to the old address is closed");
    }
  }

  /** A peer that reads nothing must not block later sends or aborts. */
  @Test
  void unresponsivePeerBlocksNeitherSendsNorAborts() throws InterruptedException {
    CountDownLatch done = new CountDownLatch(1);
    try (TestPeer peer =
        new TestPeer(
            line -> {
              line.note("connected");
              done.await();
            })) {
      CacheServer server = server(peer);
      Slice value = Slice.of("$65536\r\n" + "v".repeat(65536) + "\r\n");
      OutboundAttempt[] attempts = new OutboundAttempt[8];
      for (int i = 0; i < attempts.length; i++) {
        attempts[i] = attempt(value);
        assertTrue(server.send(attempts[i]));
      }
      for (int i = 0; i < attempts.length; i++) {
        peer.note();
      }
      for (OutboundAttempt attempt : attempts) {
        server.abort(attempt);
      }
      awaitInactive(server);
      assertNull(
          routingMessages.stream()
              .filter(m -> ((RoutingMessage.AttemptCompleted) m).result().response() != null)
              .findAny()
              .orElse(null));
      done.countDown();
    }
  }
}
