package beaconturn.ledger;

import java.util.List;

/** Judges an account by all rules. */
public final class Judge {
  private Judge() {}

  /** Nanoseconds for which the machine kept the kit, or a part of it, from running. */
  public static long paused(List<Entry> entries) {
    return Evidence.pauses(entries).stream().mapToLong(p -> p.until() - p.at()).sum();
  }

  /** The verdicts, in a fixed order; the same account always gives the same ones. */
  public static List<Verdict> judge(Terms terms, List<Entry> entries) {
    Evidence evidence = new Evidence(terms, entries);
    List<Rule> rules =
        List.of(
            new OneAnswer(),
            new MadeForIt(),
            new NoEffectTwice(),
            new Copies(),
            new Attempts(),
            new HarmlessRefusal(),
            new NothingAfter(),
            new PassedOn(),
            new Drains(),
            new ColdServers(),
            new OriginKept(),
            new Books(),
            new RoutersRun(),
            new NoContradiction(),
            new NeverTooManyOut(),
            new HaltBinds(),
            new StepOnce(),
            new PlaceRules.KeptNear(),
            new PlaceRules.NoStampede(),
            new PlaceRules.OneDecision());
    return rules.stream().map(rule -> rule.on(evidence)).toList();
  }
}
