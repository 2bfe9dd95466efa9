package beaconturn.ledger;

import java.util.List;

/** Once a request has its final answer, nothing more is sent for it. */
final class NothingAfter extends Rule {
  private static final long SEEN_WITHIN = 100_000_000;

  NothingAfter() {
    super(
        "nothing-after",
        "nothing is sent for a request after its answer, or once its client has left");
  }

  @Override
  void judge(Evidence evidence) {
    for (Evidence.Case one : evidence.cases()) {
      left(evidence, one);
      if (one.finals().isEmpty()) {
        continue;
      }
      long answered = one.finals().get(0).at();
      for (Entry.Sent sent : one.sends()) {
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
  private void left(Evidence evidence, Evidence.Case one) {
    long left = one.leftAt();
    for (Entry.Sent sent : left == Long.MAX_VALUE ? List.<Entry.Sent>of() : one.sends()) {
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
