package beaconturn.history;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/** The rules of releases, by accounts that are written here; times are seconds. */
class RolloutInvariantsTest {
  private static final long SECOND = 1_000_000_000;
  private final List<HistoryEvent> lines = new ArrayList<>();

  private static InvariantBounds terms(boolean caches, int harmful) {
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
            harmful),
        null);
  }

  private RolloutInvariantsTest changed(double at, String part, boolean released) {
    return line(
        new HistoryEvent.VariantChangeBegun(
            nanos(at),
            part,
            part.startsWith("r") ? Integer.parseInt(part.substring(1)) : -1,
            released));
  }

  private RolloutInvariantsTest line(HistoryEvent entry) {
    lines.add(entry);
    return this;
  }

  private static long nanos(double at) {
    return (long) (at * SECOND);
  }

  private List<String> offences(boolean caches, int harmful) {
    return HistoryChecker.check(terms(caches, harmful), lines).stream()
        .filter(v -> !v.invariant().equals("routers-run"))
        .flatMap(v -> v.violations().stream().map(o -> v.invariant() + ": " + o.description()))
        .toList();
  }

  private RolloutInvariantsTest restarted(String cache, double down, double up) {
    return line(new HistoryEvent.CacheServerStopped(nanos(down), cache))
        .line(new HistoryEvent.CacheServerStarted(nanos(up), cache, "", 0, nanos(up), 1));
  }

  @Test
  void aRouterIsTakenOutOnlyWhileFewEnoughAreOutHoweverTheyWent() {
    changed(1, "r1", true).line(new HistoryEvent.RouterStopped(nanos(1), nanos(1), 1, true));
    line(new HistoryEvent.RouterDied(nanos(1), 0, "by itself"));
    changed(2, "r2", true);
    assertEquals(
        List.of("never-too-many-out: r2 was taken out while [r1] were out, [r1] of its site west"),
        offences(false, 0));
    line(new HistoryEvent.RouterReady(nanos(1.5), 1));
    assertEquals(List.of(), offences(false, 0), "r0 cannot have been seen to be gone yet");
  }

  /** Who was restarted counts until it is warm. */
  @Test
  void aColdCacheServerIsOut() {
    changed(1, "c2", true).restarted("c2", 2, 3).changed(12.9, "c3", true);
    assertEquals(1, offences(true, 0).size());
    lines.remove(lines.size() - 1);
    changed(13.1, "c3", true);
    assertEquals(List.of(), offences(true, 0));
  }

  @Test
  void whatDiscoveryDrainsAndWhatOperatorsHoldOutCounts() {
    line(new HistoryEvent.ListingChanged(nanos(1), "c1", HistoryEvent.ListingState.DRAINING));
    line(new HistoryEvent.DrainPermitChanged(nanos(1.5), "c2", true)).changed(2, "c3", true);
    assertEquals(
        List.of("never-too-many-out: c3 was taken out while [c2] were out, [c2] of its site west"),
        offences(true, 0));
    line(new HistoryEvent.DrainPermitChanged(nanos(1.9), "c2", false));
    assertEquals(List.of(), offences(true, 0));
    line(new HistoryEvent.DrainPermitChanged(nanos(3.5), "c2", true));
    assertEquals(1, offences(true, 0).size(), "c1 is seen to drain by now, and c3 is out");
    line(new HistoryEvent.ListingChanged(nanos(3.2), "c1", HistoryEvent.ListingState.READY));
    assertEquals(
        List.of("never-too-many-out: c2 was taken out while [c3] were out, [c3] of its site west"),
        offences(true, 0));
  }

  /** A cache server that runs what harms is out already when it goes back, though it is warm. */
  @Test
  void whoGoesBackUnderItsOwnPlaceTakesNobodyMoreOut() {
    line(new HistoryEvent.PermitTaken(nanos(0.9), "c2"))
        .changed(1, "c2", true)
        .restarted("c2", 2, 3);
    line(new HistoryEvent.ListingChanged(nanos(14), "c3", HistoryEvent.ListingState.DRAINING))
        .changed(20, "c2", false);
    assertEquals(List.of(), offences(true, 0));
    line(new HistoryEvent.PermitTaken(nanos(19.9), "c2"));
    assertEquals(1, offences(true, 0).size(), "it had given its place back and took another");
  }

  /** Who had decided by the old budget may still act for a moment; nobody may later. */
  @Test
  void aBudgetThatIsLoweredBindsSoon() {
    changed(1, "c1", true)
        .line(new HistoryEvent.DisruptionBudgetDefined(nanos(1.5), 1, 1))
        .changed(2, "c2", true);
    assertEquals(List.of(), offences(true, 0));
    lines.remove(lines.size() - 1);
    changed(3, "c2", true);
    assertEquals(1, offences(true, 0).size());
  }

  @Test
  void aHaltBindsAfterItsTimeUntilItIsResumed() {
    line(new HistoryEvent.ReleaseCommanded(nanos(1), "halt")).changed(1.5, "c1", true);
    assertEquals(List.of(), offences(true, 0));
    changed(2.5, "c2", true);
    assertEquals(List.of("halt-binds: c2 was taken out 1500.0 ms after a halt"), offences(true, 0));
    line(new HistoryEvent.ReleaseCommanded(nanos(2.2), "running"));
    assertEquals(List.of(), offences(true, 0));
  }

  @Test
  void aStepIsTakenOnceAndWhatHarmsGoesNoFurtherThanTheFirstWave() {
    changed(1, "r0", true).line(new HistoryEvent.RouterReady(nanos(2), 0)).changed(3, "r0", true);
    assertEquals(
        List.of("step-once: r0 was taken out twice for the same step"), offences(false, 0));
    line(new HistoryEvent.RouterDied(nanos(2.5), 0, "by itself"));
    assertEquals(List.of(), offences(false, 0), "it was started again after it had ended");
    line(new HistoryEvent.RouterReady(nanos(4), 0)).changed(5, "r1", true);
    assertEquals(
        List.of("step-once: 2 parts run what harms, 1 had to show it"), offences(false, 1));
  }
}
