package beaconturn.ledger;

import java.util.List;

/** No second copy is out where none is allowed. */
final class Copies extends Rule {
  Copies() {
    super("second-copies", "no second copy is out where none is allowed");
  }

  @Override
  void judge(Evidence evidence) {
    for (Evidence.Case one : evidence.cases()) {
      List<Entry.Sent> sends = one.sends();
      for (int i = 1; i < sends.size(); i++) {
        Entry.Sent later = sends.get(i);
        boolean alone =
            evidence.terms().secondCopies()
                || sends.subList(0, i).stream().noneMatch(earlier -> out(evidence, earlier, later));
        check(alone, later.at(), one.id(), later.server(), "a second copy while the first is out");
      }
    }
  }

  /**
   * An end is seen a turn after what was sent after it, at the latest: the kernel had it by then.
   */
  private static boolean out(Evidence evidence, Entry.Sent earlier, Entry.Sent later) {
    Entry.Replied reply = evidence.reply(earlier);
    Entry.Ended end = evidence.end(earlier);
    boolean answered = reply != null && reply.at() <= later.at();
    return !answered && (end == null || end.turn() > later.turn() + 1);
  }
}
