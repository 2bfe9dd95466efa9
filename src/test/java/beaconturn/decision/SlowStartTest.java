package beaconturn.decision;

import static beaconturn.decision.Harness.MS;
import static beaconturn.decision.Harness.SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** When a cache is warming up, and how much it gets. */
class SlowStartTest {
  @Test
  void cacheThatWarmsUpIsHeldToItsBudget() {
    Harness h = new Harness(Harness.settings(false));
    h.list(EndpointListKind.CACHED, Harness.cache(1), Harness.cache(2), Harness.cache(3));
    Harness.homes(h, 300);
    h.list(EndpointListKind.DELTA, Harness.entry(4, EndpointHealth.READY, h.now));
    h.sends.clear();
    Harness.homes(h, 300);
    long toNewCache = h.sends.stream().filter(s -> s.server() == 4).count();
    assertTrue(toNewCache <= 2, "sent to the cache that warms up at once: " + toNewCache);
  }

  /**
   * A list tells starts by the wall clock, which may have been stepped by an hour: it must not make
   * a cache warm.
   */
  @Test
  void warmingUpDependsOnNoWallClock() {
    for (long step : new long[] {-3600 * SECOND, 0, 3600 * SECOND}) {
      Harness h = new Harness(Harness.settings(false));
      h.caches(3);
      h.list(EndpointListKind.FULL, Harness.cache(1), Harness.cache(2), Harness.cache(3));
      h.list(EndpointListKind.DELTA, Harness.entry(4, EndpointHealth.READY, h.now + step));
      assertEquals(ServerStatus.WARMING, h.router.view().servers().get(4L), "step " + step);
      h.now += 19 * SECOND;
      h.list(EndpointListKind.DELTA);
      assertEquals(ServerStatus.WARMING, h.router.view().servers().get(4L), "step " + step);
      h.now += 2 * SECOND;
      h.list(EndpointListKind.DELTA);
      assertEquals(ServerStatus.ACTIVE, h.router.view().servers().get(4L), "step " + step);
    }
  }

  /**
   * The same for a router that has just begun: only what started long before any step counts as
   * warm.
   */
  @Test
  void firstListMakesOnlyThoseWarmThatStartedLongAgo() {
    Harness h = new Harness(Harness.settings(false));
    h.now += 7200 * SECOND;
    h.list(
        EndpointListKind.CACHED,
        Harness.entry(1, EndpointHealth.READY, h.now - 3700 * SECOND),
        Harness.entry(2, EndpointHealth.READY, h.now - 3500 * SECOND));
    assertEquals(ServerStatus.ACTIVE, h.router.view().servers().get(1L));
    assertEquals(ServerStatus.WARMING, h.router.view().servers().get(2L));
    h.now += 21 * SECOND;
    h.list(EndpointListKind.DELTA);
    assertEquals(ServerStatus.ACTIVE, h.router.view().servers().get(2L));
  }

  @Test
  void manyRoutersTogetherKeepToBudgetOfCacheThatWarmsUp() {
    int routers = 200;
    long toNewCache = 0;
    for (int i = 0; i < routers; i++) {
      Harness h = new Harness(Harness.settings(false, routers, List.of()), i);
      h.caches(10);
      for (int k = 0; k < 40; k++) {
        h.now += 100 * MS;
        h.serve(k, i * 1000L + k);
      }
      h.list(EndpointListKind.DELTA, Harness.entry(11, EndpointHealth.READY, h.now));
      h.sends.clear();
      for (int k = 100; k < 150; k++) {
        h.now += 20 * MS;
        h.serve(k, i * 1000L + k);
      }
      toNewCache += h.sends.stream().filter(s -> s.server() == 11).count();
    }
    // Up to then ten requests a second at each router, one for each warm cache; the settings
    // allow three times the first share of at least 0.2, which is 0.25 at the second's end.
    assertTrue(
        toNewCache > 0 && toNewCache <= 3 * 0.25 * routers,
        "sent to the cache that warms up: " + toNewCache);
  }
}
