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

/** Watches of the list that fall silent. */
@Timeout(60)
class DiscoveryWatcherTest {
  /** In milliseconds: after so long a change counts as told, though its watch has fallen silent. */
  private static final int COUNTS_AS_TOLD = 6_000;

  private final BlockingQueue<RoutingMessage> module = new LinkedBlockingQueue<>();
  private final CountDownLatch over = new CountDownLatch(1);

  private void watching(TestPeer registry) {
    watching(registry, module::add);
  }

  private void watching(TestPeer registry, Consumer<RoutingMessage> routingThread) {
    DiscoveryWatcher discovery =
        new DiscoveryWatcher(
            registry.address(),
            new EndpointListParser(Samples.read()),
            4,
            routingThread,
            () -> 0,
            new WatchBackoff(new SplittableRandom(1), 40, 40));
    discovery.start();
    discovery.watch(true);
  }

  private EndpointUpdate nextUpdate() throws InterruptedException {
    return ((RoutingMessage.EndpointUpdateReceived) module.poll(20, TimeUnit.SECONDS)).update();
  }

  /**
   * What it misses counts as told 2 s after its wait: a module that only then backs off asks too
   * late.
   */
  @Test
  void aSilentWatchIsOpenedAnewAtOnceAndIsNoFailure() throws Exception {
    try (TestPeer registry =
        new TestPeer(
            line -> {
              line.note(line.readHttpHead().split(" ")[1]);
              if (line.isFirst()) {
                over.await();
              }
              line.writeHttpResponse(200, "{\"seq\":5,\"whole\":false,\"hosts\":[]}");
              over.await();
            })) {
      watching(registry);
      assertTrue(registry.note().startsWith("/registry/instances?after=4&wait_ms="));
      assertTrue(registry.note().startsWith("/registry/instances?after=4&wait_ms="));
      EndpointUpdate first = nextUpdate();
      assertEquals(EndpointListKind.DELTA, first.kind());
      assertEquals(5, first.version());
    } finally {
      over.countDown();
    }
  }

  /**
   * What has changed since the list that a router was started with is asked for, not waited for.
   */
  @Test
  void theFirstCallDoesNotWaitForAChange() throws Exception {
    try (TestPeer registry =
        new TestPeer(
            line -> {
              while (true) {
                String path = line.readHttpHead().split(" ")[1];
                line.note(path);
                line.writeHttpResponse(200, "{\"seq\":5,\"whole\":false,\"hosts\":[]}");
              }
            })) {
      watching(registry);
      assertEquals("/registry/instances?after=4&wait_ms=1", registry.note());
      String next = registry.note();
      assertTrue(next.matches("/registry/instances\\?after=5&wait_ms=[34][0-9]"), next);
    }
  }

  /** A discovery that is gone is left to the module, which waits longer each time. */
  @Test
  void aWatchThatIsRefusedIsAFailure() throws Exception {
    TestPeer registry = new TestPeer(line -> {});
    registry.close();
    watching(registry);
    assertEquals(EndpointListKind.FAILED, nextUpdate().kind());
  }

  /** Routers that start together must not all call again at once, nor after they count as told. */
  @Test
  void waitsAreSpreadAndLeaveTimeToAskAgain() {
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
          assertTrue(w.get(0) + w.get(2) <= COUNTS_AS_TOLD / 2 + 100, w::toString);
        });
  }

  /** An error in what routingThread the news must not leave the router on its list for good. */
  @Test
  void aWatchGoesOnAfterWhateverItsNewsBreak() throws Exception {
    AtomicBoolean broke = new AtomicBoolean();
    try (TestPeer registry =
        new TestPeer(
            line -> {
              while (!line.readHttpHead().isEmpty()) {
                line.writeHttpResponse(200, "{\"seq\":5,\"whole\":false,\"hosts\":[]}");
              }
            })) {
      watching(
          registry,
          message -> {
            if (broke.compareAndSet(false, true)) {
              throw new OutOfMemoryError("of the test's own");
            }
            module.add(message);
          });
      assertEquals(5, nextUpdate().version());
    }
  }

  /**
   * The same for an answer that breaks its reader: the module routingThread of a failure and has it
   * asked for again.
   */
  @Test
  void anAnswerThatBreaksItsReaderIsAFailure() throws Exception {
    String deep = "[".repeat(200_000);
    try (TestPeer registry =
        new TestPeer(
            line -> {
              line.readHttpHead();
              line.writeHttpResponse(200, "{\"hosts\":" + deep);
            })) {
      watching(registry);
      assertEquals(EndpointListKind.FAILED, nextUpdate().kind());
    }
  }
}
