package beaconturn.history;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/**
 * The invariants of zones, on histories that are written here: one router in east, and a cache
 * server in each zone.
 */
class ZoneInvariantsTest {
  private static final long SECOND = 1_000_000_000;
  private static final InvariantBounds BOUNDS = bounds(true);
  private final List<HistoryEvent> events =
      new ArrayList<>(
          List.of(
              new HistoryEvent.CacheServerStarted(0, "c1", "east", 0, 0, 1),
              new HistoryEvent.CacheServerStarted(0, "c2", "west", 0, 0, 1)));
  private long number;

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

  /** So many first attempts, spread over two seconds from that one on. */
  private ZoneInvariantsTest sends(int count, String server, double from) {
    for (int i = 0; i < count; i++) {
      long at = (long) (from * SECOND) + i * 2L * SECOND / count;
      events.add(
          new HistoryEvent.AttemptArrived(
              at, at, at, ++number, server, 0, number, "id" + number, "read", "key", SECOND / 100));
    }
    return this;
  }

  private ZoneInvariantsTest plan(double at, int local, int remote) {
    events.add(
        new HistoryEvent.ZonePlanInForce(
            (long) (at * SECOND), 1, Map.of("east", Map.of("east", local, "west", remote))));
    return this;
  }

  private void fault(double at, boolean active) {
    events.add(new HistoryEvent.FaultChanged((long) (at * SECOND), active));
  }

  private List<String> violated() {
    return HistoryChecker.check(BOUNDS, events).stream()
        .filter(v -> !v.held())
        .filter(v -> List.of("kept-near", "no-stampede", "one-decision").contains(v.invariant()))
        .map(v -> v.invariant() + ": " + v.violations().get(0).description())
        .toList();
  }

  @Test
  void whatGoesFarOnACalmDayIsSeen() {
    sends(100, "c1", 10).sends(2, "c2", 10);
    assertEquals(List.of(), violated(), "a trial");
    sends(20, "c2", 10);
    plan(1, 800, 200);
    assertEquals(
        List.of(
            "kept-near: 22 of 122 first sends of five seconds went to other places, though"
                + " all could be served near"),
        violated());
    fault(2, true);
    fault(7.5, false);
    assertEquals(List.of(), violated(), "not back yet, and need not be");
    fault(20, true);
    events.removeIf(e -> e instanceof HistoryEvent.FaultChanged t && t.atNanos() < 20 * SECOND);
    assertEquals(1, violated().size(), "what comes later is no reason");
  }

  /** Demand for more than four fifths of what a zone carries with one of its servers gone. */
  @Test
  void whatIsTooMuchForItsPlaceMayGoFar() {
    plan(1, 800, 200);
    events.add(new HistoryEvent.CacheServerStarted(0, "c3", "east", 0, 0, 1));
    sends(1500, "c1", 10).sends(60, "c2", 10);
    assertEquals(1, violated().stream().filter(b -> b.startsWith("kept-near")).count());
    sends(200, "c1", 10);
    assertEquals(0, violated().stream().filter(b -> b.startsWith("kept-near")).count());
  }

  @Test
  void aPlaceThatIsSentMoreThanItCanDoIsSeen() {
    fault(0, true);
    plan(0, 1000, 0);
    sends(220, "c1", 2);
    assertEquals(List.of(), violated(), "1.1 s of work a second");
    sends(60, "c1", 2);
    assertEquals(
        List.of("no-stampede: sent 1.4 times what its cache servers can do in a second"),
        violated());
  }

  /** By a plan in force, or lately in force; the stated time is a second here. */
  @Test
  void sendingByAnOlderDecisionIsSeen() {
    fault(0, true);
    plan(1, 500, 500).plan(9.5, 1000, 0);
    sends(50, "c1", 4).sends(50, "c2", 4);
    assertEquals(List.of(), violated());
    sends(50, "c1", 10).sends(50, "c2", 10);
    assertEquals(List.of(), violated(), "within the stated time of the plan before");
    sends(50, "c1", 12).sends(50, "c2", 12);
    assertEquals(
        List.of(
            "one-decision: router 0 sent 50 of 100 there, where plans of the stated time"
                + " allot 50 of 1000"),
        violated());
  }

  @Test
  void howFarTrafficWentIsToldInFigures() {
    sends(99, "c1", 1).sends(1, "c2", 1).sends(150, "c1", 5).sends(50, "c2", 5);
    fault(4, true);
    fault(7, false);
    plan(6.5, 750, 250).plan(11, 990, 10);
    CrossZoneTraffic c = CrossZoneTraffic.of(BOUNDS, events);
    assertEquals(51 / 300.0, c.remoteShare(), 1e-9);
    assertEquals(0.01, c.remoteShareBeforeFaults(), 1e-9);
    assertEquals("east", c.busiestZone());
    assertEquals(0.75, c.peakLoad(), 1e-9);
    assertEquals(2.5 * SECOND, c.firstPlanDelayNanos());
    assertEquals(4 * SECOND, c.recoveryPlanDelayNanos());
    assertEquals(0.75, c.localShares().get("east").get(5L), 1e-9);
  }

  /** The same history where routers follow no plan: nothing is promised. */
  @Test
  void whereNothingIsDecidedNothingIsJudged() {
    sends(20, "c2", 10);
    assertEquals(2, violated().size(), "far without a plan, and without a reason");
    InvariantBounds undecided = bounds(false);
    assertEquals(
        0,
        HistoryChecker.check(undecided, events).stream()
            .filter(v -> v.invariant().equals("kept-near"))
            .mapToLong(InvariantResult::checked)
            .sum());
  }
}
