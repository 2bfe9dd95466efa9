package beaconturn.history;

import java.util.List;

/**
 * After a halt nothing more is released beyond the stated time, until an operator has it go on or
 * back.
 */
final class HaltStopsRollout extends Invariant {
  HaltStopsRollout() {
    super("halt-binds", "no step begins beyond the stated time after a halt");
  }

  @Override
  void judge(HistoryIndex evidence) {
    InvariantBounds.Release terms = evidence.terms().release();
    if (terms == null) {
      return;
    }
    List<HistoryEvent.Ordered> orders = evidence.all(HistoryEvent.Ordered.class);
    for (HistoryEvent.Ordered halt : orders) {
      if (!halt.what().equals("halt")) {
        continue;
      }
      long until =
          orders.stream()
              .filter(o -> o.at() > halt.at() && !o.what().equals("halt"))
              .mapToLong(HistoryEvent.Ordered::at)
              .min()
              .orElse(Long.MAX_VALUE);
      // One chance for the halt itself: a play in which nothing came later has kept it.
      check(true, halt.at(), "", "", "");
      for (HistoryEvent.Changed c : evidence.all(HistoryEvent.Changed.class)) {
        if (c.released() && c.at() > halt.at() && c.at() < until) {
          long late = evidence.between(halt.at(), c.at());
          seen(late);
          check(
              late <= terms.halt(),
              c.at(),
              "",
              "",
              c.part() + " was taken out " + millis(late) + " after a halt");
        }
      }
    }
  }
}
