package beaconturn.decision;

import static beaconturn.decision.RouterHarness.MS;
import static beaconturn.decision.RouterHarness.SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests when a cache is warming up and how many requests it gets. */
class SlowStartTest {
  @Test
  void warmingCacheIsLimitedToItsBudget() {
    RouterHarness harness = new RouterHarness(RouterHarness.settings(false));
    harness.updateEndpoints(
        EndpointListKind.CACHED,
        RouterHarness.readyEndpoint(1),
        RouterHarness.readyEndpoint(2),
        RouterHarness.readyEndpoint(3));
    RouterHarness.homeCaches(harness, 300);
    harness.updateEndpoints(
        EndpointListKind.DELTA, RouterHarness.endpoint(4, EndpointHealth.READY, harness.nowNanos));
    harness.sends.clear();
    RouterHarness.homeCaches(harness, 300);
    long sendsToNewCache = harness.sends.stream().filter(send -> send.serverId() == 4).count();
    assertTrue(sendsToNewCache <= 2, "sent to the warming cache: " + sendsToNewCache);
  }

  /**
   * Lists contain wall-clock boot times; a stepped wall clock must not make a cache count as warm.
   */
  @Test
  void warmUpDoesNotDependOnWallClock() {
    for (long clockStepNanos : new long[] {-3600 * SECOND, 0, 3600 * SECOND}) {
      RouterHarness harness = new RouterHarness(RouterHarness.settings(false));
      harness.addCaches(3);
      harness.updateEndpoints(
          EndpointListKind.FULL,
          RouterHarness.readyEndpoint(1),
          RouterHarness.readyEndpoint(2),
          RouterHarness.readyEndpoint(3));
      harness.updateEndpoints(
          EndpointListKind.DELTA,
          RouterHarness.endpoint(4, EndpointHealth.READY, harness.nowNanos + clockStepNanos));
      assertEquals(
          ServerStatus.WARMING,
          harness.router.view().servers().get(4L),
          "clock step in nanoseconds: " + clockStepNanos);
      harness.nowNanos += 19 * SECOND;
      harness.updateEndpoints(EndpointListKind.DELTA);
      assertEquals(
          ServerStatus.WARMING,
          harness.router.view().servers().get(4L),
          "clock step in nanoseconds: " + clockStepNanos);
      harness.nowNanos += 2 * SECOND;
      harness.updateEndpoints(EndpointListKind.DELTA);
      assertEquals(
          ServerStatus.ACTIVE,
          harness.router.view().servers().get(4L),
          "clock step in nanoseconds: " + clockStepNanos);
    }
  }

  /**
   * For a new router, only servers that started long before any possible clock step count as warm.
   */
  @Test
  void firstListTreatsOnlyLongRunningServersAsWarm() {
    RouterHarness harness = new RouterHarness(RouterHarness.settings(false));
    harness.nowNanos += 7200 * SECOND;
    harness.updateEndpoints(
        EndpointListKind.CACHED,
        RouterHarness.endpoint(1, EndpointHealth.READY, harness.nowNanos - 3700 * SECOND),
        RouterHarness.endpoint(2, EndpointHealth.READY, harness.nowNanos - 3500 * SECOND));
    assertEquals(ServerStatus.ACTIVE, harness.router.view().servers().get(1L));
    assertEquals(ServerStatus.WARMING, harness.router.view().servers().get(2L));
    harness.nowNanos += 21 * SECOND;
    harness.updateEndpoints(EndpointListKind.DELTA);
    assertEquals(ServerStatus.ACTIVE, harness.router.view().servers().get(2L));
  }

  @Test
  void manyRoutersTogetherRespectBudgetOfWarmingCache() {
    int routerCount = 200;
    long sendsToNewCache = 0;
    for (int i = 0; i < routerCount; i++) {
      RouterHarness harness =
          new RouterHarness(RouterHarness.settings(false, routerCount, List.of()), i);
      harness.addCaches(10);
      for (int k = 0; k < 40; k++) {
        harness.nowNanos += 100 * MS;
        harness.readFromCache(k, i * 1000L + k);
      }
      harness.updateEndpoints(
          EndpointListKind.DELTA,
          RouterHarness.endpoint(11, EndpointHealth.READY, harness.nowNanos));
      harness.sends.clear();
      for (int k = 100; k < 150; k++) {
        harness.nowNanos += 20 * MS;
        harness.readFromCache(k, i * 1000L + k);
      }
      sendsToNewCache += harness.sends.stream().filter(send -> send.serverId() == 11).count();
    }
    // Each router sent ten requests per second before, one per warm cache. The settings allow three
    // times the guaranteed share, which rises from 0.2 to less than 0.25 within the second.
    assertTrue(
        sendsToNewCache > 0 && sendsToNewCache <= 3 * 0.25 * routerCount,
        "sent to the warming cache: " + sendsToNewCache);
  }
}
