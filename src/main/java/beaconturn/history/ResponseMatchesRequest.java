package beaconturn.history;

/** A client is served only with what a cache server answered to this very request. */
final class ResponseMatchesRequest extends Invariant {
  ResponseMatchesRequest() {
    super("made-for-it", "served only with what a cache server made for this request");
  }

  @Override
  void evaluate(HistoryIndex history) {
    for (RequestRecord request : history.requests()) {
      for (HistoryEvent.RequestCompleted response : request.responses()) {
        if (response.outcome() == HistoryEvent.ClientOutcome.SERVED) {
          boolean matches =
              request.attempts().stream()
                  .map(history::answerTo)
                  .anyMatch(answer -> isSource(answer, response));
          check(
              matches,
              response.atNanos(),
              request.id(),
              "",
              "served with what was not made for it");
        }
      }
    }
  }

  private static boolean isSource(
      HistoryEvent.ResponseSent answer, HistoryEvent.RequestCompleted response) {
    return answer != null
        && answer.answer() == HistoryEvent.ServerResponse.VALUE
        && answer.digest() == response.digest();
  }
}
