package beaconturn.decision;

import static beaconturn.decision.RouterHarness.MS;
import static beaconturn.decision.RouterHarness.READ;
import static beaconturn.decision.RouterHarness.SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Tests failures of the endpoint list and the removal of caches by lists. */
class EndpointWatchTest {
  @Test
  void cacheOmittedFromFullListIsRemovedFromRing() {
    RouterHarness harness = new RouterHarness(RouterHarness.settings(false));
    harness.addCaches(3);
    harness.updateEndpoints(EndpointListKind.FULL, RouterHarness.readyEndpoint(2));
    Set<Long> used = new HashSet<>(RouterHarness.homeCaches(harness, 100).values());
    assertEquals(Set.of(2L), used);
  }

  @Test
  void failedWatchIsRenewedAndListIsKept() {
    RouterHarness harness = new RouterHarness(RouterHarness.settings(false));
    assertEquals(List.of("watch true"), harness.actions);
    harness.addCaches(2);
    harness.updateEndpoints(EndpointListKind.FAILED);
    assertEquals(1, harness.actions.stream().filter("watch true"::equals).count());
    harness.advance(5 * SECOND);
    assertEquals(2, harness.actions.stream().filter("watch true"::equals).count());
    harness.arrive(1, READ, 5);
    assertEquals(1, harness.sends.size());
  }

  /**
   * A change has to be received within seconds after discovery is reachable, however long the poll
   * interval is.
   */
  @Test
  void backoffOfFailingWatchIsBounded() {
    RoutingSettings settings = RouterHarness.settings(true);
    SafetyLimits limits = settings.safetyLimits();
    RouterHarness harness =
        new RouterHarness(
            new RoutingSettings(
                settings.routerIndex(),
                settings.routerCount(),
                settings.zone(),
                true,
                settings.stableRatings(),
                settings.priorityByWork(),
                settings.overQuotaPriorityWeight(),
                settings.tickNanos(),
                settings.classes(),
                settings.tenants(),
                new SafetyLimits(
                    limits.responseSlackNanos(),
                    3600 * SECOND,
                    limits.coldCapacityShare(),
                    limits.warmUpNanos(),
                    limits.drainGraceNanos(),
                    limits.overloadMultiple(),
                    limits.overloadNanos(),
                    false),
                settings.permissions(),
                settings.origin(),
                settings.loadReportFields()));
    for (int i = 0; i < 20; i++) {
      harness.updateEndpoints(EndpointListKind.FAILED);
      long before = harness.actions.stream().filter("watch true"::equals).count();
      harness.advance(1200 * MS);
      assertEquals(
          before + 1,
          harness.actions.stream().filter("watch true"::equals).count(),
          "failure " + i);
    }
  }
}
