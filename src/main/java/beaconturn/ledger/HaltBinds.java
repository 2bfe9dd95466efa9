package beaconturn.ledger;

import java.util.List;

/**
 * After a halt nothing more is released beyond the stated time, until an operator has it go on or
 * back.
 */
final class HaltBinds extends Rule {
  HaltBinds() {
    super("halt-binds", "no step begins beyond the stated time after a halt");
  }

  @Override
  void judge(Evidence evidence) {
    Terms.Release terms = evidence.terms().release();
    if (terms == null) {
      return;
    }
    List<Entry.Ordered> orders = evidence.all(Entry.Ordered.class);
    for (Entry.Ordered halt : orders) {
      if (!halt.what().equals("halt")) {
        continue;
      }
      long until =
          orders.stream()
              .filter(o -> o.at() > halt.at() && !o.what().equals("halt"))
              .mapToLong(Entry.Ordered::at)
              .min()
              .orElse(Long.MAX_VALUE);
      // One chance for the halt itself: a play in which nothing came later has kept it.
      check(true, halt.at(), "", "", "");
      for (Entry.Changed c : evidence.all(Entry.Changed.class)) {
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
