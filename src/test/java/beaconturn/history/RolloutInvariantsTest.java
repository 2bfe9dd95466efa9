package beaconturn.history;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/** Checks the invariants of releases. Times are in seconds. */
class RolloutInvariantsTest {
  private static final long SECOND = 1_000_000_000;
  private final List<HistoryEvent> events = new ArrayList<>();

  private static InvariantBounds bounds(boolean ofCacheServers, int maxFaultyInstances) {
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
            ofCacheServers,
            new TreeMap<>(
                ofCacheServers
                    ? Map.of("c1", "east", "c2", "west", "c3", "west")
                    : Map.of("r0", "east", "r1", "west", "r2", "west")),
            2,
            1,
            2 * SECOND,
            SECOND,
            maxFaultyInstances),
        null);
  }

  private RolloutInvariantsTest variantChanged(
      double atSeconds, String instanceId, boolean toReleased) {
    return add(
        new HistoryEvent.VariantChangeStarted(
            nanos(atSeconds),
            instanceId,
            instanceId.startsWith("r") ? Integer.parseInt(instanceId.substring(1)) : -1,
            toReleased));
  }

  private RolloutInvariantsTest add(HistoryEvent event) {
    events.add(event);
    return this;
  }

  private static long nanos(double atSeconds) {
    return (long) (atSeconds * SECOND);
  }

  private List<String> violations(boolean ofCacheServers, int maxFaultyInstances) {
    return HistoryChecker.check(bounds(ofCacheServers, maxFaultyInstances), events).stream()
        .filter(result -> !result.invariant().equals("routers-run"))
        .flatMap(
            result ->
                result.violations().stream()
                    .map(violation -> result.invariant() + ": " + violation.description()))
        .toList();
  }

  private RolloutInvariantsTest cacheServerRestarted(
      String server, double stopSeconds, double startSeconds) {
    return add(new HistoryEvent.CacheServerStopped(nanos(stopSeconds), server))
        .add(
            new HistoryEvent.CacheServerStarted(
                nanos(startSeconds), server, "", 0, nanos(startSeconds), 1));
  }

  @Test
  void detectsRouterChangeBeyondBudgetForAnyOutage() {
    variantChanged(1, "r1", true).add(new HistoryEvent.RouterStopped(nanos(1), nanos(1), 1, true));
    add(new HistoryEvent.RouterCrashed(nanos(1), 0, "by itself"));
    variantChanged(2, "r2", true);
    assertEquals(
        List.of("never-too-many-out: r2 was taken out while [r1] were out, [r1] of its site west"),
        violations(false, 0));
    add(new HistoryEvent.RouterReady(nanos(1.5), 1));
    assertEquals(List.of(), violations(false, 0), "the crash of r0 is not detected yet");
  }

  /** A restarted cache server counts as unavailable until it is warm. */
  @Test
  void warmingCacheServerIsUnavailable() {
    variantChanged(1, "c2", true).cacheServerRestarted("c2", 2, 3).variantChanged(12.9, "c3", true);
    assertEquals(1, violations(true, 0).size());
    events.remove(events.size() - 1);
    variantChanged(13.1, "c3", true);
    assertEquals(List.of(), violations(true, 0));
  }

  @Test
  void drainsOfDiscoveryAndOperatorsCountAsUnavailable() {
    add(new HistoryEvent.ListingChanged(nanos(1), "c1", HistoryEvent.ListingState.DRAINING));
    add(new HistoryEvent.DrainPermitChanged(nanos(1.5), "c2", true)).variantChanged(2, "c3", true);
    assertEquals(
        List.of("never-too-many-out: c3 was taken out while [c2] were out, [c2] of its site west"),
        violations(true, 0));
    add(new HistoryEvent.DrainPermitChanged(nanos(1.9), "c2", false));
    assertEquals(List.of(), violations(true, 0));
    add(new HistoryEvent.DrainPermitChanged(nanos(3.5), "c2", true));
    assertEquals(
        1, violations(true, 0).size(), "the drain of c1 is detected by now, and c3 is unavailable");
    add(new HistoryEvent.ListingChanged(nanos(3.2), "c1", HistoryEvent.ListingState.READY));
    assertEquals(
        List.of("never-too-many-out: c2 was taken out while [c3] were out, [c3] of its site west"),
        violations(true, 0));
  }

  /** A cache server that still holds its permit counts as unavailable, though it is warm. */
  @Test
  void changeUnderPreviousPermitNeedsNoFurtherBudget() {
    add(new HistoryEvent.PermitTaken(nanos(0.9), "c2"))
        .variantChanged(1, "c2", true)
        .cacheServerRestarted("c2", 2, 3);
    add(new HistoryEvent.ListingChanged(nanos(14), "c3", HistoryEvent.ListingState.DRAINING))
        .variantChanged(20, "c2", false);
    assertEquals(List.of(), violations(true, 0));
    add(new HistoryEvent.PermitTaken(nanos(19.9), "c2"));
    assertEquals(1, violations(true, 0).size(), "c2 had returned its permit and took another");
  }

  /** A driver that decided by the old budget may still act within the delay. */
  @Test
  void loweredBudgetAppliesAfterHaltDelay() {
    variantChanged(1, "c1", true)
        .add(new HistoryEvent.DisruptionBudgetDefined(nanos(1.5), 1, 1))
        .variantChanged(2, "c2", true);
    assertEquals(List.of(), violations(true, 0));
    events.remove(events.size() - 1);
    variantChanged(3, "c2", true);
    assertEquals(1, violations(true, 0).size());
  }

  @Test
  void haltAppliesAfterItsDelayUntilResumed() {
    add(new HistoryEvent.ReleaseCommanded(nanos(1), "halt")).variantChanged(1.5, "c1", true);
    assertEquals(List.of(), violations(true, 0));
    variantChanged(2.5, "c2", true);
    assertEquals(
        List.of("halt-binds: c2 was taken out 1500.0 ms after a halt"), violations(true, 0));
    add(new HistoryEvent.ReleaseCommanded(nanos(2.2), "running"));
    assertEquals(List.of(), violations(true, 0));
  }

  @Test
  void detectsRepeatedStepAndFaultyVariantBeyondFirstWave() {
    variantChanged(1, "r0", true)
        .add(new HistoryEvent.RouterReady(nanos(2), 0))
        .variantChanged(3, "r0", true);
    assertEquals(
        List.of("step-once: r0 was taken out twice for the same step"), violations(false, 0));
    add(new HistoryEvent.RouterCrashed(nanos(2.5), 0, "by itself"));
    assertEquals(List.of(), violations(false, 0), "r0 was restarted after its crash");
    add(new HistoryEvent.RouterReady(nanos(4), 0)).variantChanged(5, "r1", true);
    assertEquals(
        List.of("step-once: 2 parts run what harms, 1 had to show it"), violations(false, 1));
  }
}
