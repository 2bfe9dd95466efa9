package beaconturn.history;

import java.util.List;

/** No second copy is out where none is allowed. */
final class OneAttemptInFlight extends Invariant {
  OneAttemptInFlight() {
    super("second-copies", "no second copy is out where none is allowed");
  }

  @Override
  void judge(HistoryIndex evidence) {
    for (HistoryIndex.Case one : evidence.cases()) {
      List<HistoryEvent.Sent> sends = one.sends();
      for (int i = 1; i < sends.size(); i++) {
        HistoryEvent.Sent later = sends.get(i);
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
  private static boolean out(
      HistoryIndex evidence, HistoryEvent.Sent earlier, HistoryEvent.Sent later) {
    HistoryEvent.Replied reply = evidence.reply(earlier);
    HistoryEvent.Ended end = evidence.end(earlier);
    boolean answered = reply != null && reply.at() <= later.at();
    return !answered && (end == null || end.turn() > later.turn() + 1);
  }
}
