package beaconturn.decision;

import static beaconturn.decision.Harness.MS;
import static beaconturn.decision.Harness.READ;
import static beaconturn.decision.Harness.SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Endpoint lists that fail, and what lists take off the ring. */
class EndpointWatchTest {
  @Test
  void fullListThatOmitsCacheTakesItOffRing() {
    Harness h = new Harness(Harness.settings(false));
    h.caches(3);
    h.list(EndpointListKind.FULL, Harness.cache(2));
    Set<Long> used = new HashSet<>(Harness.homes(h, 100).values());
    assertEquals(Set.of(2L), used);
  }

  @Test
  void failedWatchIsAskedAgainLaterAndListStays() {
    Harness h = new Harness(Harness.settings(false));
    assertEquals(List.of("watch true"), h.actions);
    h.caches(2);
    h.list(EndpointListKind.FAILED);
    assertEquals(1, h.actions.stream().filter("watch true"::equals).count());
    h.pass(5 * SECOND);
    assertEquals(2, h.actions.stream().filter("watch true"::equals).count());
    h.arrive(1, READ, 5);
    assertEquals(1, h.sends.size());
  }

  /**
   * A change counts as notified some seconds after it can be reached, however seldom lists need be
   * asked for.
   */
  @Test
  void listThatFailsAgainAndAgainIsAskedForEverySecondOrSo() {
    RoutingSettings s = Harness.settings(true);
    SafetyLimits r = s.safetyLimits();
    Harness h =
        new Harness(
            new RoutingSettings(
                s.routerIndex(),
                s.routerCount(),
                s.zone(),
                true,
                s.stableRatings(),
                s.priorityByWork(),
                s.overQuotaPriorityWeight(),
                s.tickNanos(),
                s.classes(),
                s.tenants(),
                new SafetyLimits(
                    r.responseSlackNanos(),
                    3600 * SECOND,
                    r.coldCapacityShare(),
                    r.warmUpNanos(),
                    r.drainGraceNanos(),
                    r.overloadMultiple(),
                    r.overloadNanos(),
                    false),
                s.permissions(),
                s.origin(),
                s.loadReportFields()));
    for (int i = 0; i < 20; i++) {
      h.list(EndpointListKind.FAILED);
      long before = h.actions.stream().filter("watch true"::equals).count();
      h.pass(1200 * MS);
      assertEquals(
          before + 1, h.actions.stream().filter("watch true"::equals).count(), "failure " + i);
    }
  }
}
