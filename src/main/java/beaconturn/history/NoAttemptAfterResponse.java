package beaconturn.history;

/**
 * Checks that no attempt is sent for a request after its response, or after its client has left.
 */
final class NoAttemptAfterResponse extends Invariant {
  /** Time within which a router detects the close of a client connection. */
  private static final long CLOSE_DETECTION_NANOS = 100_000_000;

  NoAttemptAfterResponse() {
    super(
        "nothing-after",
        "nothing is sent for a request after its answer, or once its client has left");
  }

  @Override
  void evaluate(HistoryIndex history) {
    long slackNanos = history.bounds().sendSlackNanos();
    for (RequestRecord request : history.requests()) {
      long abandonedNanos = request.abandonedNanos();
      if (abandonedNanos < Long.MAX_VALUE) {
        long allowedNanos = CLOSE_DETECTION_NANOS + slackNanos;
        checkAttempts(history, request, abandonedNanos, allowedNanos, " after its client left");
      }
      if (!request.responses().isEmpty()) {
        long respondedNanos = request.responses().get(0).atNanos();
        checkAttempts(history, request, respondedNanos, slackNanos, " after the answer");
      }
    }
  }

  private void checkAttempts(
      HistoryIndex history,
      RequestRecord request,
      long endNanos,
      long allowedNanos,
      String afterWhat) {
    for (HistoryEvent.AttemptArrived attempt : request.attempts()) {
      long lateNanos = history.elapsedNanos(endNanos, attempt.earliestNanos());
      check(
          attempt.earliestNanos() <= endNanos || lateNanos <= allowedNanos,
          attempt.earliestNanos(),
          request.id(),
          attempt.server(),
          "sent " + millis(lateNanos) + afterWhat);
    }
  }
}
