package beaconturn.history;

import java.util.List;

/** Checks that no request has more attempts than allowed. */
final class AttemptLimit extends Invariant {
  AttemptLimit() {
    super("attempts", "no more attempts for a request than allowed");
  }

  @Override
  void evaluate(HistoryIndex history) {
    int max = history.bounds().maxAttempts();
    for (RequestRecord request : history.requests()) {
      List<HistoryEvent.AttemptArrived> attempts = request.attempts();
      int count = attempts.size();
      if (count > 0) {
        check(
            count <= max,
            attempts.get(count - 1).atNanos(),
            request.id(),
            "",
            count + " attempts where " + max + " are allowed");
      }
    }
  }
}
