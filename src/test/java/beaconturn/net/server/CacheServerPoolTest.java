package beaconturn.net.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import beaconturn.core.ClientRequest;
import beaconturn.core.Clock;
import beaconturn.core.EndpointDiscovery;
import beaconturn.core.EndpointUpdate;
import beaconturn.core.OutboundAttempt;
import beaconturn.core.RequestDescription;
import beaconturn.core.RoutingEngine;
import beaconturn.core.RoutingMessage;
import beaconturn.core.Samples;
import beaconturn.decision.AttemptOutcome;
import beaconturn.decision.Endpoint;
import beaconturn.decision.EndpointHealth;
import beaconturn.decision.EndpointListKind;
import beaconturn.net.TestPeer;
import beaconturn.net.client.RequestParser;
import beaconturn.net.client.RespClientRequest;
import beaconturn.net.io.ConnectionLimit;
import beaconturn.protocol.Slice;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

class CacheServerPoolTest {
  private static final long SECOND_NANOS = 1_000_000_000;
  private static final int SERVER_COUNT = 200;

  /** So many that connections settle meanwhile and are used again. */
  private static final int MANY_ATTEMPTS = 300;

  private static final int LARGE_VALUE_BYTES = 40_000;
  private static final int LARGE_ATTEMPTS = 30;

  /** The memory of one server, for {@link #RESPONSES_IN_MEMORY} responses. */
  private static final int SERVER_MEMORY_BYTES = 150_000;

  private static final int RESPONSES_IN_MEMORY = 3;

  private static final EndpointDiscovery NO_DISCOVERY =
      new EndpointDiscovery() {
        @Override
        public void watch(boolean on) {}

        @Override
        public void fetch() {}
      };

  private final Clock clock = Clock.system();
  private final WorkerPool workers = new WorkerPool("fleet-cache", SECOND_NANOS / 100);
  private final BlockingQueue<RoutingMessage> routingMessages = new LinkedBlockingQueue<>();
  private final CacheServerEnvironment environment =
      CacheServerTest.environment(
          clock, routingMessages::add, new ConnectionLimit(9), SECOND_NANOS / 100, workers);
  private final CacheServerPool pool = new CacheServerPool(environment);

  private static EndpointUpdate.AddressedEndpoint member(
      long id, EndpointHealth health, TestPeer peer) {
    return new EndpointUpdate.AddressedEndpoint(
        new Endpoint(id, 0, 0, 0, health, 1, 0), "fleet-" + id, peer.dialAddress());
  }

  private OutboundAttempt attempt(long server) {
    ClientRequest request =
        new RespClientRequest(
            new RequestDescription(0, 1, false, false, 0, 0, 0),
            clock.now() + 100 * SECOND_NANOS,
            new RequestParser.Parts(
                Slice.of("$5\r\nC.GET\r\n$1\r\na\r\n$2\r\nid\r\n"),
                Slice.of("id"),
                Map.of("d", "1"),
                null),
            CacheServerTest.READING,
            () -> {});
    return new OutboundAttempt(1, 0, server, request, clock.now(), 100 * SECOND_NANOS);
  }

  private static TestPeer cacheServer() {
    return new TestPeer(
        line -> {
          while (!line.readCommand().equals("end")) {
            line.write("*3\r\n$2\r\nva\r\n$3\r\nhit\r\n$-1\r\n");
          }
        });
  }

  /** Guards against a leak of actors in a fleet whose servers are replaced over time. */
  @Test
  @Timeout(60)
  void actorOfGoneServerStopsWithoutFurtherUpdates() throws Exception {
    try (TestPeer peer = cacheServer()) {
      pool.applyUpdate(
          new EndpointUpdate(
              1,
              EndpointListKind.FULL,
              List.of(
                  member(1, EndpointHealth.READY, peer), member(2, EndpointHealth.READY, peer))));
      assertTrue(pool.send(attempt(1)));
      TestPeer.until(() -> environment.thread().serverCount() == 2);
      pool.applyUpdate(
          new EndpointUpdate(
              2, EndpointListKind.DELTA, List.of(member(1, EndpointHealth.GONE, peer))));
      assertFalse(pool.send(attempt(1)), "nothing is sent to a server that is gone");
      OutboundAttempt ended = attempt(2);
      ended.end(AttemptOutcome.CANCELLED);
      TestPeer.until(
          () -> {
            pool.send(ended);
            return environment.thread().serverCount() == 1;
          });
    }
  }

  /** Guards against a heap that is full of responses which the routing thread has not handled. */
  @Test
  @Timeout(60)
  void largeResponsesThatWaitForTheRoutingThreadStayWithinTheirMemory() throws Exception {
    CacheServerPool limited =
        new CacheServerPool(
            CacheServerTest.environment(
                clock,
                routingMessages::add,
                new ConnectionLimit(MANY_ATTEMPTS),
                new ReceivedResponseMemory(2 * SERVER_MEMORY_BYTES),
                SECOND_NANOS,
                workers));
    CountDownLatch mayRespond = new CountDownLatch(1);
    RoutingEngine engine =
        new RoutingEngine(Samples.read().routing(), 1, clock, limited, NO_DISCOVERY);
    try (TestPeer peer = serverOfLargeValues(mayRespond)) {
      limited.applyUpdate(
          new EndpointUpdate(
              1, EndpointListKind.FULL, List.of(member(1, EndpointHealth.READY, peer))));
      for (int i = 0; i < LARGE_ATTEMPTS; i++) {
        assertTrue(limited.send(attempt(1)));
      }
      TestPeer.until(() -> peer.connections() == LARGE_ATTEMPTS);
      mayRespond.countDown();
      TestPeer.until(() -> workers.threadCount() <= LARGE_ATTEMPTS - RESPONSES_IN_MEMORY);
      assertEquals(RESPONSES_IN_MEMORY, routingMessages.size(), "results that wait");
      for (int i = 0; i < LARGE_ATTEMPTS; i++) {
        RoutingMessage.AttemptCompleted completed =
            (RoutingMessage.AttemptCompleted) routingMessages.take();
        assertTrue(completed.attempt().end(AttemptOutcome.OK));
        assertEquals(AttemptOutcome.OK, completed.result().outcome());
        engine.handle(completed);
      }
    }
  }

  private static TestPeer serverOfLargeValues(CountDownLatch mayRespond) {
    String value = "v".repeat(LARGE_VALUE_BYTES);
    return new TestPeer(
        line -> {
          line.readCommand();
          TestPeer.await(mayRespond);
          line.write("*3\r\n$" + LARGE_VALUE_BYTES + "\r\n" + value + "\r\n$3\r\nhit\r\n$-1\r\n");
          line.readCommand();
        });
  }

  /** Guards against a thread per server, which would cost memory and startup time. */
  @Test
  @Timeout(60)
  void threadCountFollowsAttemptsInFlight() throws Exception {
    try (TestPeer peer = cacheServer()) {
      pool.applyUpdate(
          new EndpointUpdate(
              1,
              EndpointListKind.FULL,
              LongStream.range(0, SERVER_COUNT)
                  .mapToObj(id -> member(id, EndpointHealth.READY, peer))
                  .toList()));
      TestPeer.until(() -> environment.thread().serverCount() == SERVER_COUNT);
      int maxThreads = 0;
      for (long id = 0; id < SERVER_COUNT; id++) {
        assertTrue(pool.send(attempt(id)));
        RoutingMessage.AttemptCompleted completed =
            (RoutingMessage.AttemptCompleted) routingMessages.take();
        assertEquals(AttemptOutcome.OK, completed.result().outcome());
        maxThreads = Math.max(maxThreads, workers.threadCount());
        pool.closeIdle(id);
      }
      assertTrue(maxThreads <= 3, maxThreads + " threads for one request at a time");
      TestPeer.until(() -> workers.threadCount() == 0);
    }
  }

  private static EndpointUpdate.AddressedEndpoint started(
      long id, TestPeer peer, long bootTimeNanos) {
    return new EndpointUpdate.AddressedEndpoint(
        new Endpoint(id, 0, 0, 0, EndpointHealth.READY, 1, bootTimeNanos),
        "fleet-" + id,
        peer.dialAddress());
  }

  private void update(int version, EndpointUpdate.AddressedEndpoint member) {
    pool.applyUpdate(new EndpointUpdate(version, EndpointListKind.DELTA, List.of(member)));
  }

  private AttemptOutcome outcomeOf(long server) throws InterruptedException {
    assertTrue(pool.send(attempt(server)));
    return ((RoutingMessage.AttemptCompleted) routingMessages.take()).result().outcome();
  }

  /** A list that still has a server that is gone must not send its work to the one after it. */
  @Test
  @Timeout(60)
  void nothingIsSentToServerWhoseAddressAnotherHasTakenOver() throws Exception {
    try (TestPeer peer = cacheServer()) {
      update(1, started(1, peer, 10));
      assertEquals(AttemptOutcome.OK, outcomeOf(1));
      update(2, started(2, peer, 20));
      assertEquals(AttemptOutcome.SUPERSEDED, outcomeOf(1));
      assertEquals(AttemptOutcome.OK, outcomeOf(2));
      update(3, started(1, peer, 30));
      assertEquals(AttemptOutcome.OK, outcomeOf(1));
      assertEquals(AttemptOutcome.SUPERSEDED, outcomeOf(2));
    }
  }

  /** A connection may lead to the process before the restart that was announced meanwhile. */
  @Test
  @Timeout(60)
  void connectionInUseWhileServerRestartsIsNotUsedAgain() throws Exception {
    CountDownLatch arrived = new CountDownLatch(1);
    CountDownLatch restarted = new CountDownLatch(1);
    try (TestPeer peer =
        new TestPeer(
            line -> {
              while (!line.readCommand().equals("end")) {
                if (line.isFirst()) {
                  line.note("arrived on first");
                }
                arrived.countDown();
                restarted.await();
                line.write("*3\r\n$2\r\nva\r\n$3\r\nhit\r\n$-1\r\n");
              }
            })) {
      update(1, started(1, peer, 10));
      assertTrue(pool.send(attempt(1)));
      arrived.await();
      update(2, started(1, peer, 20));
      restarted.countDown();
      routingMessages.take();
      for (int i = 0; i < MANY_ATTEMPTS; i++) {
        outcomeOf(1);
      }
      assertEquals(List.of("arrived on first"), peer.remainingNotes());
    }
  }
}
