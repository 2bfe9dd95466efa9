package beaconturn.net.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import beaconturn.core.ClientRequest;
import beaconturn.core.Clock;
import beaconturn.core.EndpointUpdate;
import beaconturn.core.OutboundAttempt;
import beaconturn.core.RequestDescription;
import beaconturn.core.RoutingMessage;
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
import java.util.concurrent.LinkedBlockingQueue;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

class CacheServerPoolTest {
  private static final long SECOND = 1_000_000_000;
  private static final int MANY = 200;
  private final Clock clock = Clock.system();
  private final WorkerPool workers = new WorkerPool("fleet-cache", SECOND / 100);
  private final BlockingQueue<RoutingMessage> module = new LinkedBlockingQueue<>();
  private final CacheServerEnvironment environment =
      CacheServerTest.environment(
          clock, module::add, new ConnectionLimit(9), SECOND / 100, workers);
  private final CacheServerPool pool = new CacheServerPool(environment);

  private static EndpointUpdate.AddressedEndpoint member(
      long id, EndpointHealth health, TestPeer peer) {
    return new EndpointUpdate.AddressedEndpoint(
        new Endpoint(id, 0, 0, 0, health, 1, 0), "fleet-" + id, peer.dialAddress());
  }

  private OutboundAttempt attempt(long server) {
    ClientRequest call =
        new RespClientRequest(
            new RequestDescription(0, 1, false, false, 0, 0, 0),
            clock.now() + 100 * SECOND,
            new RequestParser.Parts(
                Slice.of("$5\r\nC.GET\r\n$1\r\na\r\n$2\r\nid\r\n"),
                Slice.of("id"),
                Map.of("d", "1"),
                null),
            CacheServerTest.READ,
            () -> {});
    return new OutboundAttempt(1, 0, server, call, clock.now(), 100 * SECOND);
  }

  private static TestPeer cache() {
    return new TestPeer(
        line -> {
          while (!line.readCommand().equals("end")) {
            line.write("*3\r\n$2\r\nva\r\n$3\r\nhit\r\n$-1\r\n");
          }
        });
  }

  /** On a long day servers go again and again; the actor of each must go with it, news or not. */
  @Test
  @Timeout(60)
  void theActorOfAServerThatIsGoneEndsWithoutFurtherNews() throws Exception {
    try (TestPeer peer = cache()) {
      pool.follow(
          new EndpointUpdate(
              1,
              EndpointListKind.FULL,
              List.of(
                  member(1, EndpointHealth.READY, peer), member(2, EndpointHealth.READY, peer))));
      assertTrue(pool.send(attempt(1)));
      TestPeer.until(() -> environment.thread().serverCount() == 2);
      pool.follow(
          new EndpointUpdate(
              2, EndpointListKind.DELTA, List.of(member(1, EndpointHealth.GONE, peer))));
      assertFalse(pool.send(attempt(1)), "nothing is sent to a server that is gone");
      OutboundAttempt givenUp = attempt(2);
      givenUp.end(AttemptOutcome.CANCELLED);
      TestPeer.until(
          () -> {
            pool.send(givenUp);
            return environment.thread().serverCount() == 1;
          });
    }
  }

  /**
   * Threads cost a start and memory: they go by what is out at once, not by how many servers there
   * are.
   */
  @Test
  @Timeout(60)
  void threadsGoByWhatIsOutAndAreGivenBack() throws Exception {
    try (TestPeer peer = cache()) {
      pool.follow(
          new EndpointUpdate(
              1,
              EndpointListKind.FULL,
              LongStream.range(0, MANY)
                  .mapToObj(id -> member(id, EndpointHealth.READY, peer))
                  .toList()));
      TestPeer.until(() -> environment.thread().serverCount() == MANY);
      int most = 0;
      for (long id = 0; id < MANY; id++) {
        assertTrue(pool.send(attempt(id)));
        RoutingMessage.AttemptCompleted ended = (RoutingMessage.AttemptCompleted) module.take();
        assertEquals(AttemptOutcome.OK, ended.result().outcome());
        most = Math.max(most, workers.threadCount());
        pool.closeIdle(id);
      }
      assertTrue(most <= 3, most + " threads for one request at a time");
      TestPeer.until(() -> workers.threadCount() == 0);
    }
  }
}
