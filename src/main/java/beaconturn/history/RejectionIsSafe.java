package beaconturn.history;

/**
 * Checks that a rejected request is safe to retry: a non-idempotent request that may have run must
 * not be rejected.
 */
final class RejectionIsSafe extends Invariant {
  RejectionIsSafe() {
    super("harmless-refusal", "refused only where a new try is harmless");
  }

  @Override
  void evaluate(HistoryIndex history) {
    for (RequestRecord request : history.requests()) {
      for (HistoryEvent.RequestCompleted completion : request.completions()) {
        if (completion.outcome() == HistoryEvent.ClientOutcome.REJECTED) {
          checkRejection(history, request, completion);
        }
      }
    }
  }

  private void checkRejection(
      HistoryIndex history, RequestRecord request, HistoryEvent.RequestCompleted rejection) {
    HistoryEvent.AttemptArrived mayHaveRun = null;
    if (isNonIdempotent(history, request)) {
      mayHaveRun =
          request.attempts().stream()
              .filter(attempt -> history.mayHaveRun(attempt, rejection.atNanos()))
              .findFirst()
              .orElse(null);
    }
    check(
        mayHaveRun == null,
        rejection.atNanos(),
        request.id(),
        mayHaveRun == null ? "" : mayHaveRun.server(),
        "refused though it may have run");
  }

  private static boolean isNonIdempotent(HistoryIndex history, RequestRecord request) {
    return request.lastWrite() != null
        && history.bounds().repeatRule(request.requestClass()) == RepeatRule.NEVER;
  }
}
