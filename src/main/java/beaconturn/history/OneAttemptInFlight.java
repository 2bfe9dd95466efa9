package beaconturn.history;

import java.util.List;

/** No second attempt of a request is in flight where hedging is not allowed. */
final class OneAttemptInFlight extends Invariant {
  OneAttemptInFlight() {
    super("second-copies", "no second copy is out where none is allowed");
  }

  @Override
  void evaluate(HistoryIndex history) {
    boolean hedgingAllowed = history.bounds().hedgingAllowed();
    for (RequestRecord request : history.requests()) {
      List<HistoryEvent.AttemptArrived> attempts = request.attempts();
      for (int i = 1; i < attempts.size(); i++) {
        HistoryEvent.AttemptArrived later = attempts.get(i);
        boolean alone =
            hedgingAllowed
                || attempts.subList(0, i).stream()
                    .noneMatch(earlier -> isInFlight(history, earlier, later));
        check(
            alone,
            later.atNanos(),
            request.id(),
            later.server(),
            "a second copy while the first is out");
      }
    }
  }

  /**
   * Whether an earlier attempt was in flight when a later one arrived. The stand-in sees the end of
   * a connection one turn of its event loop after what was sent after it, at the latest.
   */
  private static boolean isInFlight(
      HistoryIndex history,
      HistoryEvent.AttemptArrived earlier,
      HistoryEvent.AttemptArrived later) {
    HistoryEvent.ResponseSent answer = history.answerTo(earlier);
    HistoryEvent.ServerConnectionEnded end = history.connectionEndOf(earlier);
    boolean answered = answer != null && answer.atNanos() <= later.atNanos();
    boolean ended = end != null && end.loopTurn() <= later.loopTurn() + 1;
    return !answered && !ended;
  }
}
