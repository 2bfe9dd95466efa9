package beaconturn.history;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Checks the invariants of zones with one router in east and one cache server in each zone. */
class ZoneInvariantsTest {
  private static final long SECOND = 1_000_000_000;
  private static final InvariantBounds BOUNDS = bounds(true);
  private final List<HistoryEvent> events =
      new ArrayList<>(
          List.of(
              new HistoryEvent.CacheServerStarted(0, "c1", "east", 0, 0, 1),
              new HistoryEvent.CacheServerStarted(0, "c2", "west", 0, 0, 1)));
  private long requestNumber;

  private static InvariantBounds bounds(boolean planned) {
    return new InvariantBounds(
        Map.of(),
        3,
        true,
        0,
        0,
        0,
        10 * SECOND,
        0.2,
        10 * SECOND,
        4,
        SECOND,
        SECOND,
        null,
        new ZoneBounds(planned, List.of("east", "west"), 5 * SECOND, 0.01, 1000, 1.2));
  }

  /** Adds first attempts, spread over two seconds. */
  private ZoneInvariantsTest addFirstAttempts(int count, String server, double fromSeconds) {
    for (int i = 0; i < count; i++) {
      long atNanos = (long) (fromSeconds * SECOND) + i * 2L * SECOND / count;
      events.add(
          new HistoryEvent.AttemptArrived(
              atNanos,
              atNanos,
              atNanos,
              ++requestNumber,
              server,
              0,
              requestNumber,
              "id" + requestNumber,
              "read",
              "key",
              SECOND / 100));
    }
    return this;
  }

  private ZoneInvariantsTest plan(double atSeconds, int local, int remote) {
    events.add(
        new HistoryEvent.ZonePlanInForce(
            (long) (atSeconds * SECOND), 1, Map.of("east", Map.of("east", local, "west", remote))));
    return this;
  }

  private void fault(double atSeconds, boolean active) {
    events.add(new HistoryEvent.FaultChanged((long) (atSeconds * SECOND), active));
  }

  private List<String> violations() {
    return HistoryChecker.check(BOUNDS, events).stream()
        .filter(result -> !result.held())
        .filter(
            result ->
                List.of("kept-near", "no-stampede", "one-decision").contains(result.invariant()))
        .map(result -> result.invariant() + ": " + result.violations().get(0).description())
        .toList();
  }

  @Test
  void detectsRemoteTrafficWithoutFault() {
    addFirstAttempts(100, "c1", 10).addFirstAttempts(2, "c2", 10);
    assertEquals(List.of(), violations(), "within the trial share");
    addFirstAttempts(20, "c2", 10);
    plan(1, 800, 200);
    assertEquals(
        List.of(
            "kept-near: 22 of 122 first sends of five seconds went to other places, though"
                + " all could be served near"),
        violations());
    fault(2, true);
    fault(7.5, false);
    assertEquals(List.of(), violations(), "within the recovery time");
    fault(20, true);
    events.removeIf(
        event -> event instanceof HistoryEvent.FaultChanged fault && fault.atNanos() < 20 * SECOND);
    assertEquals(1, violations().size(), "a later fault does not excuse remote traffic");
  }

  /** High demand exceeds 80 % of the capacity of a zone without one of its servers. */
  @Test
  void allowsRemoteTrafficUnderHighDemand() {
    plan(1, 800, 200);
    events.add(new HistoryEvent.CacheServerStarted(0, "c3", "east", 0, 0, 1));
    addFirstAttempts(1500, "c1", 10).addFirstAttempts(60, "c2", 10);
    assertEquals(
        1, violations().stream().filter(violation -> violation.startsWith("kept-near")).count());
    addFirstAttempts(200, "c1", 10);
    assertEquals(
        0, violations().stream().filter(violation -> violation.startsWith("kept-near")).count());
  }

  @Test
  void detectsOverloadedZone() {
    fault(0, true);
    plan(0, 1000, 0);
    addFirstAttempts(220, "c1", 2);
    assertEquals(List.of(), violations(), "1.1 s of work a second");
    addFirstAttempts(60, "c1", 2);
    assertEquals(
        List.of("no-stampede: sent 1.4 times what its cache servers can do in a second"),
        violations());
  }

  /** The convergence time is one second. */
  @Test
  void detectsRoutingByOutdatedPlan() {
    fault(0, true);
    plan(1, 500, 500).plan(9.5, 1000, 0);
    addFirstAttempts(50, "c1", 4).addFirstAttempts(50, "c2", 4);
    assertEquals(List.of(), violations());
    addFirstAttempts(50, "c1", 10).addFirstAttempts(50, "c2", 10);
    assertEquals(List.of(), violations(), "within the convergence time of the previous plan");
    addFirstAttempts(50, "c1", 12).addFirstAttempts(50, "c2", 12);
    assertEquals(
        List.of(
            "one-decision: router 0 sent 50 of 100 there, where plans of the stated time"
                + " allot 50 of 1000"),
        violations());
  }

  @Test
  void computesCrossZoneTraffic() {
    addFirstAttempts(99, "c1", 1)
        .addFirstAttempts(1, "c2", 1)
        .addFirstAttempts(150, "c1", 5)
        .addFirstAttempts(50, "c2", 5);
    fault(4, true);
    fault(7, false);
    plan(6.5, 750, 250).plan(11, 990, 10);
    CrossZoneTraffic traffic = CrossZoneTraffic.of(BOUNDS, events);
    assertEquals(51 / 300.0, traffic.remoteShare(), 1e-9);
    assertEquals(0.01, traffic.remoteShareBeforeFaults(), 1e-9);
    assertEquals("east", traffic.busiestZone());
    assertEquals(0.75, traffic.peakLoad(), 1e-9);
    assertEquals(2.5 * SECOND, traffic.firstPlanDelayNanos());
    assertEquals(4 * SECOND, traffic.recoveryPlanDelayNanos());
    assertEquals(0.75, traffic.localShares().get("east").get(5L), 1e-9);
  }

  @Test
  void checksNothingWithoutPlans() {
    addFirstAttempts(20, "c2", 10);
    assertEquals(2, violations().size(), "remote traffic without a plan and without a fault");
    InvariantBounds unplannedBounds = bounds(false);
    assertEquals(
        0,
        HistoryChecker.check(unplannedBounds, events).stream()
            .filter(result -> result.invariant().equals("kept-near"))
            .mapToLong(InvariantResult::checked)
            .sum());
  }
}
