package beaconturn.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

/**
 * Pins all decisions of a router: digests of every action, in order, for several thousand seeded
 * events per setting. A digest changes if a decision or the order of random draws changes; unless
 * that is intended, correct the change and not the digest.
 */
class RoutingCharacterizationTest {
  private static final long MS = 1_000_000L;
  private static final long SECOND = 1000 * MS;
  private static final int ARRIVALS = 5000;

  private static final RoutingPermissions WITH_HEDGING = permissions(true, true, true, 4);
  private static final RoutingPermissions WITHOUT_HEDGING = permissions(true, true, false, 3);
  private static final RoutingPermissions MINIMAL = permissions(false, false, true, 2);

  private static RoutingPermissions permissions(
      boolean cancel, boolean retryAfter, boolean hedging, int maxAttempts) {
    return new RoutingPermissions(
        cancel, false, false, retryAfter, hedging, maxAttempts, 300 * MS, 32, 30 * MS, 800 * MS);
  }

  private static List<RequestClass> classes() {
    return List.of(
        requestClass(Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 1, 0, false),
        requestClass(Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 4, 2, false),
        requestClass(Idempotency.IDEMPOTENCY_KEY, DeduplicationScope.ALL, 2, 1, false),
        requestClass(Idempotency.IDEMPOTENCY_KEY, DeduplicationScope.ZONE, 2, 0, false),
        requestClass(Idempotency.IDEMPOTENCY_KEY, DeduplicationScope.CELL, 1, 1, false),
        requestClass(Idempotency.NON_IDEMPOTENT, DeduplicationScope.ALL, 3, 1, false),
        requestClass(Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 1, 1, true));
  }

  private static RequestClass requestClass(
      Idempotency idempotency,
      DeduplicationScope scope,
      double priorityWeight,
      double latePriorityWeight,
      boolean streamed) {
    return new RequestClass(
        idempotency,
        scope,
        230 * MS,
        90 * MS,
        600 * MS,
        priorityWeight,
        latePriorityWeight,
        streamed);
  }

  /**
   * Returns settings; {@code alternative} disables polling of discovery, and enables ratings,
   * advisory removal and load reports.
   */
  private static RoutingSettings settings(
      boolean cacheAside, int routerCount, RoutingPermissions permissions, boolean alternative) {
    SafetyLimits limits =
        new SafetyLimits(20 * MS, 2 * SECOND, 0.2, 3 * SECOND, 250 * MS, 3, SECOND, alternative);
    OriginSettings origin =
        new OriginSettings(
            cacheAside,
            cacheAside ? SeededTraffic.ORIGIN_KIND : -1,
            false,
            permissions.hedging(),
            0,
            0);
    return new RoutingSettings(
        0,
        routerCount,
        1,
        !alternative,
        alternative,
        false,
        0.1,
        5 * MS,
        classes(),
        List.of(
            new Tenant(0, 0.5),
            new Tenant(40 * routerCount, 0.1),
            new Tenant(60 * routerCount, 0.4)),
        limits,
        permissions,
        origin,
        alternative ? List.of("queue", "busy_reqs") : List.of());
  }

  private static SeededTraffic runAndCompare(
      SeededTraffic.Scenario scenario, String expectedDigest) {
    SeededTraffic traffic = new SeededTraffic(scenario, 4711);
    String actualDigest = traffic.run();
    Map<String, Integer> counts = traffic.counts();
    assertEquals(0, traffic.unansweredCount(), counts::toString);
    assertEquals(expectedDigest, actualDigest, counts::toString);
    return traffic;
  }

  private static void assertActionsTaken(SeededTraffic traffic, String... kinds) {
    assertTrue(traffic.counts().keySet().containsAll(Set.of(kinds)), traffic.counts()::toString);
  }

  @Test
  void cacheAsideWithHedging() {
    SeededTraffic traffic =
        runAndCompare(
            new SeededTraffic.Scenario(
                settings(true, 1, WITH_HEDGING, false), ARRIVALS, 8, 6 * MS, false, false, null),
            "8acc9a5b1309d7526f1a9eb69213020b60a490271d501bddd719482cfcb14f44");
    assertActionsTaken(traffic, "send", "cancel", "timer", "watch", "refuse FAILING_KEY");
  }

  @Test
  void cacheAsideWithoutHedging() {
    SeededTraffic traffic =
        runAndCompare(
            new SeededTraffic.Scenario(
                settings(true, 4, WITHOUT_HEDGING, false),
                ARRIVALS,
                6,
                8 * MS,
                false,
                true,
                settings(true, 3, WITHOUT_HEDGING, false)),
            "3f823625396729602c13c4c5b56466aeb8b5e39d2796cbe6517d0e99c4211475");
    assertActionsTaken(traffic, "refuse OVERLOADED", "refuse TOO_LATE");
  }

  @Test
  void cacheAsideInZonesWithLoadReports() {
    SeededTraffic traffic =
        runAndCompare(
            new SeededTraffic.Scenario(
                settings(true, 2, MINIMAL, true),
                ARRIVALS,
                9,
                2 * MS,
                true,
                false,
                settings(true, 2, MINIMAL, false)),
            "6710ffe7cde348fc2a8f4dea4e4511920aab276f1037f9f56848fb935a9fc828");
    assertActionsTaken(traffic, "fail RETRY_NOT_EARNED");
  }

  @Test
  void readThroughWithHedging() {
    SeededTraffic traffic =
        runAndCompare(
            new SeededTraffic.Scenario(
                settings(false, 12, WITH_HEDGING, false),
                ARRIVALS,
                8,
                5 * MS,
                false,
                true,
                settings(false, 12, WITH_HEDGING, true)),
            "cf4afd176a3d3d4dd8f8d2645c35bdee3d38bc5e3f29ea3583f8b27d27543128");
    assertActionsTaken(traffic, "refuse QUEUE_TIMEOUT");
  }

  @Test
  void readThroughWithoutHedging() {
    runAndCompare(
        new SeededTraffic.Scenario(
            settings(false, 3, WITHOUT_HEDGING, true), ARRIVALS, 5, 5 * MS, false, false, null),
        "444418a0371aae26f97622e7dcd85788a1963a2d392a843de90137f7ddc3d838");
  }

  @Test
  void readThroughInZonesWithLoadReports() {
    runAndCompare(
        new SeededTraffic.Scenario(
            settings(false, 30, WITH_HEDGING, true),
            ARRIVALS,
            9,
            2 * MS,
            true,
            false,
            settings(false, 30, MINIMAL, true)),
        "26f742fe9c6abf7c86a38e201113ef4f96293c337fae3b1ded0ba98eaf417386");
  }
}
