package beaconturn.history;

/** Nothing is sent for a request once it is answered, or once its client has left. */
final class NoAttemptAfterAnswer extends Invariant {
  /** A router sees the close of a client's connection within this time. */
  private static final long CLOSE_SEEN_NANOS = 100_000_000;

  NoAttemptAfterAnswer() {
    super(
        "nothing-after",
        "nothing is sent for a request after its answer, or once its client has left");
  }

  @Override
  void evaluate(HistoryIndex history) {
    long slackNanos = history.bounds().sendSlackNanos();
    for (RequestRecord request : history.requests()) {
      long abandoned = request.abandonedNanos();
      if (abandoned < Long.MAX_VALUE) {
        long allowedNanos = CLOSE_SEEN_NANOS + slackNanos;
        checkAttempts(history, request, abandoned, allowedNanos, " after its client left");
      }
      if (!request.answers().isEmpty()) {
        long answered = request.answers().get(0).atNanos();
        checkAttempts(history, request, answered, slackNanos, " after the answer");
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
