package beaconturn.history;

import java.util.HashMap;
import java.util.Map;

/**
 * A part is taken out once for each way that it goes, and what is harmful stays with the first
 * wave.
 */
final class RolloutStepOnce extends Invariant {
  RolloutStepOnce() {
    super("step-once", "each part is changed once, and no more than the first wave to what harms");
  }

  @Override
  void judge(HistoryIndex evidence) {
    InvariantBounds.Release terms = evidence.terms().release();
    if (terms == null) {
      return;
    }
    Map<String, HistoryEvent.Changed> last = new HashMap<>();
    for (HistoryEvent.Changed c : evidence.all(HistoryEvent.Changed.class)) {
      HistoryEvent.Changed before = last.put(c.part(), c);
      check(
          before == null || before.released() != c.released() || ended(evidence, before, c),
          c.at(),
          "",
          "",
          c.part() + " was taken out twice for the same step");
      if (terms.harmful() > 0 && c.released()) {
        long harmed = last.values().stream().filter(HistoryEvent.Changed::released).count();
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
  private static boolean ended(
      HistoryIndex evidence, HistoryEvent.Changed before, HistoryEvent.Changed again) {
    long from = before.at();
    long to = again.at();
    return evidence.all(HistoryEvent.Died.class).stream()
            .anyMatch(d -> d.router() == again.router() && d.at() > from && d.at() <= to)
        || evidence.all(HistoryEvent.Stopped.class).stream()
            .anyMatch(
                s -> !s.planned() && s.router() == again.router() && s.at() > from && s.at() <= to);
  }
}
