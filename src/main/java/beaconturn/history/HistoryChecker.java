package beaconturn.history;

import java.util.List;

/** Checks a history against all invariants. */
public final class HistoryChecker {
  private HistoryChecker() {}

  /** Time for which the machine did not let the rehearsal, or a part of it, run. */
  public static long pausedNanos(List<HistoryEvent> events) {
    return MachinePauses.of(events).totalNanos();
  }

  /** The results in a fixed order; the same history always gives the same ones. */
  public static List<InvariantResult> check(InvariantBounds bounds, List<HistoryEvent> events) {
    HistoryIndex history = new HistoryIndex(bounds, events);
    return invariants().stream().map(invariant -> invariant.result(history)).toList();
  }

  private static List<Invariant> invariants() {
    return List.of(
        new ExactlyOneAnswer(),
        new ResponseMatchesRequest(),
        new NoDuplicateEffect(),
        new OneAttemptInFlight(),
        new AttemptLimit(),
        new RejectionIsSafe(),
        new NoAttemptAfterAnswer(),
        new ForwardedUnchanged(),
        new DrainGrace(),
        new SlowStartLimit(),
        new OriginOverload(),
        new RequestAccounting(),
        new RoutersStayUp(),
        new NoConflictingVersions(),
        new UnavailabilityBudget(),
        new HaltStopsRollout(),
        new RolloutStepOnce(),
        new TrafficStaysInZone(),
        new ZoneLoadLimit(),
        new OneZonePlan());
  }
}
