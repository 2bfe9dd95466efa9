package beaconturn.net.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import beaconturn.core.EndpointUpdate;
import beaconturn.core.RoutingMessage;
import beaconturn.core.Samples;
import beaconturn.decision.EndpointListKind;
import beaconturn.net.TestPeer;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests watches of the endpoint list that fail or get no response. */
@Timeout(60)
class DiscoveryWatcherTest {
  /** After this time a router counts as notified of a change even if its watch is dead. */
  private static final int NOTIFICATION_LIMIT_MILLIS = 6_000;

  private final BlockingQueue<RoutingMessage> routingMessages = new LinkedBlockingQueue<>();
  private final CountDownLatch done = new CountDownLatch(1);

  private void startWatch(TestPeer discoveryPeer) {
    startWatch(discoveryPeer, routingMessages::add);
  }

  private void startWatch(TestPeer discoveryPeer, Consumer<RoutingMessage> routingThread) {
    DiscoveryWatcher watcher =
        new DiscoveryWatcher(
            discoveryPeer.address(),
            new EndpointListParser(Samples.read()),
            4,
            routingThread,
            () -> 0,
            new WatchBackoff(new SplittableRandom(1), 40, 40));
    watcher.start();
    watcher.watch(true);
  }

  private EndpointUpdate nextUpdate() throws InterruptedException {
    return ((RoutingMessage.EndpointUpdateReceived) routingMessages.poll(20, TimeUnit.SECONDS))
        .update();
  }

  /** With a backoff, the next watch would start after the router counts as notified of a change. */
  @Test
  void retriesWatchWithoutResponseImmediately() throws Exception {
    try (TestPeer discoveryPeer =
        new TestPeer(
            line -> {
              line.note(line.readHttpHead().split(" ")[1]);
              if (line.isFirst()) {
                done.await();
              }
              line.writeHttpResponse(200, "{\"seq\":5,\"whole\":false,\"hosts\":[]}");
              done.await();
            })) {
      startWatch(discoveryPeer);
      assertTrue(discoveryPeer.note().startsWith("/registry/instances?after=4&wait_ms="));
      assertTrue(discoveryPeer.note().startsWith("/registry/instances?after=4&wait_ms="));
      EndpointUpdate first = nextUpdate();
      assertEquals(EndpointListKind.DELTA, first.kind());
      assertEquals(5, first.version());
    } finally {
      done.countDown();
    }
  }

  /** The router must get the changes since its initial list without waiting for another one. */
  @Test
  void firstWatchDoesNotWaitForChange() throws Exception {
    try (TestPeer discoveryPeer =
        new TestPeer(
            line -> {
              while (true) {
                String path = line.readHttpHead().split(" ")[1];
                line.note(path);
                line.writeHttpResponse(200, "{\"seq\":5,\"whole\":false,\"hosts\":[]}");
              }
            })) {
      startWatch(discoveryPeer);
      assertEquals("/registry/instances?after=4&wait_ms=1", discoveryPeer.note());
      String next = discoveryPeer.note();
      assertTrue(next.matches("/registry/instances\\?after=5&wait_ms=[34][0-9]"), next);
    }
  }

  /** The routing policy decides on the backoff while discovery is unreachable. */
  @Test
  void reportsRefusedConnectionAsFailure() throws Exception {
    TestPeer discoveryPeer = new TestPeer(line -> {});
    discoveryPeer.close();
    startWatch(discoveryPeer);
    assertEquals(EndpointListKind.FAILED, nextUpdate().kind());
  }

  /**
   * Routers that start together must not call at the same time, nor later than they count as
   * notified of a change.
   */
  @Test
  void waitsAreRandomAndLeaveTimeForAnotherWatch() {
    List<List<Integer>> waits =
        IntStream.range(0, 50)
            .mapToObj(
                seed -> {
                  WatchBackoff backoff = WatchBackoff.of(seed);
                  return List.of(
                      backoff.nextWaitMillis(),
                      backoff.nextWaitMillis(),
                      backoff.silenceMarginMillis());
                })
            .toList();
    assertTrue(waits.stream().map(w -> w.get(0)).distinct().count() > 45, waits::toString);
    waits.forEach(
        w -> {
          assertNotEquals(w.get(0), w.get(1));
          assertTrue(w.get(0) >= 1_500 && w.get(0) <= 2_000, w::toString);
          assertTrue(w.get(0) + w.get(2) <= NOTIFICATION_LIMIT_MILLIS / 2 + 100, w::toString);
        });
  }

  /** An error while an update is delivered must not stop the watch. */
  @Test
  void watchContinuesAfterConsumerFails() throws Exception {
    AtomicBoolean failedOnce = new AtomicBoolean();
    try (TestPeer discoveryPeer =
        new TestPeer(
            line -> {
              while (!line.readHttpHead().isEmpty()) {
                line.writeHttpResponse(200, "{\"seq\":5,\"whole\":false,\"hosts\":[]}");
              }
            })) {
      startWatch(
          discoveryPeer,
          message -> {
            if (failedOnce.compareAndSet(false, true)) {
              throw new OutOfMemoryError("thrown by the test");
            }
            routingMessages.add(message);
          });
      assertEquals(5, nextUpdate().version());
    }
  }

  /** A response that the parser rejects must be reported, so that the policy requests it again. */
  @Test
  void reportsDeeplyNestedResponseAsFailure() throws Exception {
    String deep = "[".repeat(200_000);
    try (TestPeer discoveryPeer =
        new TestPeer(
            line -> {
              line.readHttpHead();
              line.writeHttpResponse(200, "{\"hosts\":" + deep);
            })) {
      startWatch(discoveryPeer);
      assertEquals(EndpointListKind.FAILED, nextUpdate().kind());
    }
  }
}
