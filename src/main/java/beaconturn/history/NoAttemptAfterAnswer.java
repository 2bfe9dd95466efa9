package beaconturn.history;

import java.util.List;

/** Once a request has its final answer, nothing more is sent for it. */
final class NoAttemptAfterAnswer extends Invariant {
  private static final long SEEN_WITHIN = 100_000_000;

  NoAttemptAfterAnswer() {
    super(
        "nothing-after",
        "nothing is sent for a request after its answer, or once its client has left");
  }

  @Override
  void judge(HistoryIndex evidence) {
    for (HistoryIndex.Case one : evidence.cases()) {
      left(evidence, one);
      if (one.finals().isEmpty()) {
        continue;
      }
      long answered = one.finals().get(0).at();
      for (HistoryEvent.Sent sent : one.sends()) {
        long late = evidence.between(answered, sent.firstAt());
        check(
            sent.firstAt() <= answered || late <= evidence.terms().sendSlack(),
            sent.firstAt(),
            one.id(),
            sent.server(),
            "sent " + millis(late) + " after the answer");
      }
    }
  }

  /** A close takes a moment to be seen. */
  private void left(HistoryIndex evidence, HistoryIndex.Case one) {
    long left = one.leftAt();
    for (HistoryEvent.Sent sent :
        left == Long.MAX_VALUE ? List.<HistoryEvent.Sent>of() : one.sends()) {
      long late = evidence.between(left, sent.firstAt());
      check(
          sent.firstAt() <= left || late <= SEEN_WITHIN + evidence.terms().sendSlack(),
          sent.firstAt(),
          one.id(),
          sent.server(),
          "sent " + millis(late) + " after its client left");
    }
  }
}
