package beaconturn.history;

/** The books balance: answers belong to requests, and at the end nothing is out any more. */
final class RequestAccounting extends Invariant {
  RequestAccounting() {
    super("books-balance", "every answer has its request, every send its end");
  }

  @Override
  void judge(HistoryIndex evidence) {
    for (HistoryIndex.Case one : evidence.cases()) {
      if (one.asked() == null) {
        one.answers()
            .forEach(
                answer ->
                    check(
                        false, answer.at(), one.id(), "", "an answer that no request was out for"));
      }
      for (HistoryEvent.Sent sent : one.sends()) {
        boolean over = evidence.reply(sent) != null || evidence.end(sent) != null;
        check(over, sent.at(), one.id(), sent.server(), "still out at the end");
      }
    }
  }
}
