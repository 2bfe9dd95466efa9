package beaconturn.history;

/** Checks that every response belongs to a request, and that no attempt is in flight at the end. */
final class RequestAccounting extends Invariant {
  RequestAccounting() {
    super("books-balance", "every answer has its request, every send its end");
  }

  @Override
  void evaluate(HistoryIndex history) {
    for (RequestRecord request : history.requests()) {
      if (request.lastWrite() == null) {
        for (HistoryEvent.RequestCompleted completion : request.completions()) {
          check(
              false,
              completion.atNanos(),
              request.id(),
              "",
              "an answer that no request was out for");
        }
      }
      for (HistoryEvent.AttemptArrived attempt : request.attempts()) {
        boolean completed =
            history.responseTo(attempt) != null || history.connectionEndOf(attempt) != null;
        check(completed, attempt.atNanos(), request.id(), attempt.server(), "still out at the end");
      }
    }
  }
}
