package beaconturn.ledger;

/** The books balance: answers belong to requests, and at the end nothing is out any more. */
final class Books extends Rule {
  Books() {
    super("books-balance", "every answer has its request, every send its end");
  }

  @Override
  void judge(Evidence evidence) {
    for (Evidence.Case one : evidence.cases()) {
      if (one.asked() == null) {
        one.answers()
            .forEach(
                answer ->
                    check(
                        false, answer.at(), one.id(), "", "an answer that no request was out for"));
      }
      for (Entry.Sent sent : one.sends()) {
        boolean over = evidence.reply(sent) != null || evidence.end(sent) != null;
        check(over, sent.at(), one.id(), sent.server(), "still out at the end");
      }
    }
  }
}
