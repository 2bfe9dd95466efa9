package beaconturn.history;

/** Checks that a client is served only with a value that a cache server sent for its request. */
final class ResponseMatchesRequest extends Invariant {
  ResponseMatchesRequest() {
    super("made-for-it", "served only with what a cache server made for this request");
  }

  @Override
  void evaluate(HistoryIndex history) {
    for (RequestRecord request : history.requests()) {
      for (HistoryEvent.RequestCompleted completion : request.completions()) {
        if (completion.outcome() == HistoryEvent.ClientOutcome.SERVED) {
          boolean matches =
              request.attempts().stream()
                  .map(history::responseTo)
                  .anyMatch(response -> isSource(response, completion));
          check(
              matches,
              completion.atNanos(),
              request.id(),
              "",
              "served with what was not made for it");
        }
      }
    }
  }

  private static boolean isSource(
      HistoryEvent.ResponseSent response, HistoryEvent.RequestCompleted completion) {
    return response != null
        && response.response() == HistoryEvent.ServerResponse.VALUE
        && response.digest() == completion.digest();
  }
}
