package beaconturn.ledger;

/** What a client is served was made by a cache server for this very request. */
final class MadeForIt extends Rule {
  MadeForIt() {
    super("made-for-it", "served only with what a cache server made for this request");
  }

  @Override
  void judge(Evidence evidence) {
    for (Evidence.Case one : evidence.cases()) {
      for (Entry.Answered answer : one.answers()) {
        if (answer.kind() == Entry.Kind.SERVED) {
          boolean made =
              one.sends().stream()
                  .map(evidence::reply)
                  .anyMatch(
                      reply ->
                          reply != null
                              && reply.made() == Entry.Made.VALUE
                              && reply.digest() == answer.digest());
          check(made, answer.at(), one.id(), "", "served with what was not made for it");
        }
      }
    }
  }
}
