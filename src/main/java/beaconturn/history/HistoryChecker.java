package beaconturn.history;

import java.util.List;

/** Checks a history against all invariants. */
public final class HistoryChecker {
  private HistoryChecker() {}

  /** Returns the total time for which the machine did not run the rehearsal or a part of it. */
  public static long pausedNanos(List<HistoryEvent> events) {
    return MachinePauses.of(events).totalNanos();
  }

  /**
   * Returns the results of all invariants in a fixed order. The same history gives the same
   * results.
   */
  public static List<InvariantResult> check(InvariantBounds bounds, List<HistoryEvent> events) {
    HistoryIndex history = new HistoryIndex(bounds, events);
    return invariants().stream().map(invariant -> invariant.result(history)).toList();
  }

  private static List<Invariant> invariants() {
    return List.of(
        new ExactlyOneResponse(),
        new ResponseMatchesRequest(),
        new NoDuplicateEffect(),
        new OneAttemptInFlight(),
        new AttemptLimit(),
        new RejectionIsSafe(),
        new NoAttemptAfterResponse(),
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
