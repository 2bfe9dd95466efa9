package beaconturn.history;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/** The invariants of releases, on histories that are written here; times are seconds. */
class RolloutInvariantsTest {
  private static final long SECOND = 1_000_000_000;
  private final List<HistoryEvent> events = new ArrayList<>();

  private static InvariantBounds bounds(boolean caches, int maxHarmed) {
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
        0,
        new RolloutBounds(
            caches,
            new TreeMap<>(
                caches
                    ? Map.of("c1", "east", "c2", "west", "c3", "west")
                    : Map.of("r0", "east", "r1", "west", "r2", "west")),
            2,
            1,
            2 * SECOND,
            SECOND,
            maxHarmed),
        null);
  }

  private RolloutInvariantsTest changed(double atSeconds, String instanceId, boolean released) {
    return event(
        new HistoryEvent.VariantChangeStarted(
            nanos(atSeconds),
            instanceId,
            instanceId.startsWith("r") ? Integer.parseInt(instanceId.substring(1)) : -1,
            released));
  }

  private RolloutInvariantsTest event(HistoryEvent event) {
    events.add(event);
    return this;
  }

  private static long nanos(double atSeconds) {
    return (long) (atSeconds * SECOND);
  }

  private List<String> violations(boolean caches, int maxHarmed) {
    return HistoryChecker.check(bounds(caches, maxHarmed), events).stream()
        .filter(v -> !v.invariant().equals("routers-run"))
        .flatMap(v -> v.violations().stream().map(o -> v.invariant() + ": " + o.description()))
        .toList();
  }

  private RolloutInvariantsTest restarted(String cache, double down, double up) {
    return event(new HistoryEvent.CacheServerStopped(nanos(down), cache))
        .event(new HistoryEvent.CacheServerStarted(nanos(up), cache, "", 0, nanos(up), 1));
  }

  @Test
  void aRouterIsTakenOutOnlyWhileFewEnoughAreOutHoweverTheyWent() {
    changed(1, "r1", true).event(new HistoryEvent.RouterStopped(nanos(1), nanos(1), 1, true));
    event(new HistoryEvent.RouterCrashed(nanos(1), 0, "by itself"));
    changed(2, "r2", true);
    assertEquals(
        List.of("never-too-many-out: r2 was taken out while [r1] were out, [r1] of its site west"),
        violations(false, 0));
    event(new HistoryEvent.RouterReady(nanos(1.5), 1));
    assertEquals(List.of(), violations(false, 0), "r0 cannot have been seen to be gone yet");
  }

  /** A cache server that was restarted counts as out until it is warm. */
  @Test
  void aColdCacheServerIsOut() {
    changed(1, "c2", true).restarted("c2", 2, 3).changed(12.9, "c3", true);
    assertEquals(1, violations(true, 0).size());
    events.remove(events.size() - 1);
    changed(13.1, "c3", true);
    assertEquals(List.of(), violations(true, 0));
  }

  @Test
  void whatDiscoveryDrainsAndWhatOperatorsHoldOutCounts() {
    event(new HistoryEvent.ListingChanged(nanos(1), "c1", HistoryEvent.ListingState.DRAINING));
    event(new HistoryEvent.DrainPermitChanged(nanos(1.5), "c2", true)).changed(2, "c3", true);
    assertEquals(
        List.of("never-too-many-out: c3 was taken out while [c2] were out, [c2] of its site west"),
        violations(true, 0));
    event(new HistoryEvent.DrainPermitChanged(nanos(1.9), "c2", false));
    assertEquals(List.of(), violations(true, 0));
    event(new HistoryEvent.DrainPermitChanged(nanos(3.5), "c2", true));
    assertEquals(1, violations(true, 0).size(), "c1 is seen to drain by now, and c3 is out");
    event(new HistoryEvent.ListingChanged(nanos(3.2), "c1", HistoryEvent.ListingState.READY));
    assertEquals(
        List.of("never-too-many-out: c2 was taken out while [c3] were out, [c3] of its site west"),
        violations(true, 0));
  }

  /** A cache server that goes back under its permit is out already, though it is warm. */
  @Test
  void whoGoesBackUnderItsOwnPlaceTakesNobodyMoreOut() {
    event(new HistoryEvent.PermitTaken(nanos(0.9), "c2"))
        .changed(1, "c2", true)
        .restarted("c2", 2, 3);
    event(new HistoryEvent.ListingChanged(nanos(14), "c3", HistoryEvent.ListingState.DRAINING))
        .changed(20, "c2", false);
    assertEquals(List.of(), violations(true, 0));
    event(new HistoryEvent.PermitTaken(nanos(19.9), "c2"));
    assertEquals(1, violations(true, 0).size(), "it had given its place back and took another");
  }

  /** A driver that decided by the old budget may act for a moment; nobody may later. */
  @Test
  void aBudgetThatIsLoweredBindsSoon() {
    changed(1, "c1", true)
        .event(new HistoryEvent.DisruptionBudgetDefined(nanos(1.5), 1, 1))
        .changed(2, "c2", true);
    assertEquals(List.of(), violations(true, 0));
    events.remove(events.size() - 1);
    changed(3, "c2", true);
    assertEquals(1, violations(true, 0).size());
  }

  @Test
  void aHaltBindsAfterItsTimeUntilItIsResumed() {
    event(new HistoryEvent.ReleaseCommanded(nanos(1), "halt")).changed(1.5, "c1", true);
    assertEquals(List.of(), violations(true, 0));
    changed(2.5, "c2", true);
    assertEquals(
        List.of("halt-binds: c2 was taken out 1500.0 ms after a halt"), violations(true, 0));
    event(new HistoryEvent.ReleaseCommanded(nanos(2.2), "running"));
    assertEquals(List.of(), violations(true, 0));
  }

  @Test
  void aStepIsTakenOnceAndWhatHarmsGoesNoFurtherThanTheFirstWave() {
    changed(1, "r0", true).event(new HistoryEvent.RouterReady(nanos(2), 0)).changed(3, "r0", true);
    assertEquals(
        List.of("step-once: r0 was taken out twice for the same step"), violations(false, 0));
    event(new HistoryEvent.RouterCrashed(nanos(2.5), 0, "by itself"));
    assertEquals(List.of(), violations(false, 0), "it was started again after it had ended");
    event(new HistoryEvent.RouterReady(nanos(4), 0)).changed(5, "r1", true);
    assertEquals(
        List.of("step-once: 2 parts run what harms, 1 had to show it"), violations(false, 1));
  }
}
