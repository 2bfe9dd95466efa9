package beaconturn.history;

/** Every answer belongs to a request, and no attempt is in flight at the end. */
final class RequestAccounting extends Invariant {
  RequestAccounting() {
    super("books-balance", "every answer has its request, every send its end");
  }

  @Override
  void evaluate(HistoryIndex history) {
    for (RequestRecord request : history.requests()) {
      if (request.lastWrite() == null) {
        for (HistoryEvent.RequestCompleted response : request.responses()) {
          check(
              false, response.atNanos(), request.id(), "", "an answer that no request was out for");
        }
      }
      for (HistoryEvent.AttemptArrived attempt : request.attempts()) {
        boolean over =
            history.answerTo(attempt) != null || history.connectionEndOf(attempt) != null;
        check(over, attempt.atNanos(), request.id(), attempt.server(), "still out at the end");
      }
    }
  }
}
