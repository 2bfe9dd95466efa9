package beaconturn.ledger;

import java.util.HashMap;
import java.util.Map;

/**
 * A part is taken out once for each way that it goes, and what is harmful stays with the first
 * wave.
 */
final class StepOnce extends Rule {
  StepOnce() {
    super("step-once", "each part is changed once, and no more than the first wave to what harms");
  }

  @Override
  void judge(Evidence evidence) {
    Terms.Release terms = evidence.terms().release();
    if (terms == null) {
      return;
    }
    Map<String, Entry.Changed> last = new HashMap<>();
    for (Entry.Changed c : evidence.all(Entry.Changed.class)) {
      Entry.Changed before = last.put(c.part(), c);
      check(
          before == null || before.released() != c.released() || ended(evidence, before, c),
          c.at(),
          "",
          "",
          c.part() + " was taken out twice for the same step");
      if (terms.harmful() > 0 && c.released()) {
        long harmed = last.values().stream().filter(Entry.Changed::released).count();
        check(
            harmed <= terms.harmful(),
            c.at(),
            "",
            "",
            harmed + " parts run what harms, " + terms.harmful() + " had to show it");
      }
    }
  }

  /** One that ended by itself in between is started again, which is no second step. */
  private static boolean ended(Evidence evidence, Entry.Changed before, Entry.Changed again) {
    long from = before.at();
    long to = again.at();
    return evidence.all(Entry.Died.class).stream()
            .anyMatch(d -> d.router() == again.router() && d.at() > from && d.at() <= to)
        || evidence.all(Entry.Stopped.class).stream()
            .anyMatch(
                s -> !s.planned() && s.router() == again.router() && s.at() > from && s.at() <= to);
  }
}
