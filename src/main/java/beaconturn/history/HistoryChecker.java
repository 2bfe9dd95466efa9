package beaconturn.history;

import java.util.List;

/** Judges an account by all rules. */
public final class HistoryChecker {
  private HistoryChecker() {}

  /** Nanoseconds for which the machine kept the kit, or a part of it, from running. */
  public static long paused(List<HistoryEvent> entries) {
    return HistoryIndex.pauses(entries).stream().mapToLong(p -> p.until() - p.at()).sum();
  }

  /** The verdicts, in a fixed order; the same account always gives the same ones. */
  public static List<InvariantResult> judge(InvariantBounds terms, List<HistoryEvent> entries) {
    HistoryIndex evidence = new HistoryIndex(terms, entries);
    List<Invariant> rules =
        List.of(
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
            new ZoneInvariants.KeptNear(),
            new ZoneInvariants.NoStampede(),
            new ZoneInvariants.OneDecision());
    return rules.stream().map(rule -> rule.on(evidence)).toList();
  }
}
