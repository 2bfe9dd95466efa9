package beaconturn.history;

/** What a client is served was made by a cache server for this very request. */
final class ResponseMatchesRequest extends Invariant {
  ResponseMatchesRequest() {
    super("made-for-it", "served only with what a cache server made for this request");
  }

  @Override
  void judge(HistoryIndex evidence) {
    for (HistoryIndex.Case one : evidence.cases()) {
      for (HistoryEvent.Answered answer : one.answers()) {
        if (answer.kind() == HistoryEvent.Kind.SERVED) {
          boolean made =
              one.sends().stream()
                  .map(evidence::reply)
                  .anyMatch(
                      reply ->
                          reply != null
                              && reply.made() == HistoryEvent.Made.VALUE
                              && reply.digest() == answer.digest());
          check(made, answer.at(), one.id(), "", "served with what was not made for it");
        }
      }
    }
  }
}
