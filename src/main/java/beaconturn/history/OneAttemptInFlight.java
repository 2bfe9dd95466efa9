package beaconturn.history;

import java.util.List;

/** Checks that a request has no second attempt in flight where hedging is not allowed. */
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
        boolean allowed =
            hedgingAllowed
                || attempts.subList(0, i).stream()
                    .noneMatch(earlier -> isInFlight(history, earlier, later));
        check(
            allowed,
            later.atNanos(),
            request.id(),
            later.server(),
            "a second copy while the first is out");
      }
    }
  }

  /**
   * Returns whether an earlier attempt was in flight when a later one arrived. A stand-in may see
   * the end of a connection one turn of its event loop later than an attempt that was sent after
   * it.
   */
  private static boolean isInFlight(
      HistoryIndex history,
      HistoryEvent.AttemptArrived earlier,
      HistoryEvent.AttemptArrived later) {
    HistoryEvent.ResponseSent response = history.responseTo(earlier);
    HistoryEvent.ServerConnectionEnded end = history.connectionEndOf(earlier);
    boolean responded = response != null && response.atNanos() <= later.atNanos();
    boolean ended = end != null && end.loopTurn() <= later.loopTurn() + 1;
    return !responded && !ended;
  }
}
