package beaconturn.rehearsal;

import beaconturn.history.HistoryEvent;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Counts by second the requests that were first sent in it, and how many were served in the end.
 */
final class ServedBySecond {
  private static final double NANOS_PER_SECOND = 1e9;
  private static final int WINDOW_SECONDS = 10;
  private final double[] requests;
  private final double[] served;

  /**
   * Counts the requests of a history that starts at {@code startNanos} and lasts for the seconds.
   */
  ServedBySecond(List<HistoryEvent> events, long startNanos, int seconds) {
    requests = new double[seconds + 1];
    served = new double[seconds + 1];
    Map<String, Integer> firstSecondByNumber = new HashMap<>();
    for (HistoryEvent event : events) {
      if (event instanceof HistoryEvent.RequestWritten written
          && firstSecondByNumber.get(requestNumber(written.requestId())) == null) {
        int second =
            (int)
                Math.max(0, Math.min(seconds, (written.atNanos() - startNanos) / NANOS_PER_SECOND));
        firstSecondByNumber.put(requestNumber(written.requestId()), second);
        requests[second]++;
      } else if (event instanceof HistoryEvent.RequestCompleted response
          && response.outcome() == HistoryEvent.ClientOutcome.SERVED
          && firstSecondByNumber.getOrDefault(requestNumber(response.requestId()), -1) >= 0) {
        served[firstSecondByNumber.put(requestNumber(response.requestId()), -1)]++;
      }
    }
  }

  /** Returns the first digits of an id, which are the same for all attempts of a request. */
  private static String requestNumber(String requestId) {
    return requestId.substring(0, Math.min(8, requestId.length()));
  }

  /** Returns the share of a second's requests that were served; 0 for a second without requests. */
  double servedShare(int second) {
    return requests[second] == 0 ? 0 : served[second] / requests[second];
  }

  /** Returns the served share of the worst window of ten seconds; 1 if the run is shorter. */
  double worstWindowShare() {
    double worst = 1;
    for (int from = 0; from + WINDOW_SECONDS < requests.length; from++) {
      double requestsInWindow = 0;
      double servedInWindow = 0;
      for (int second = from; second < from + WINDOW_SECONDS; second++) {
        requestsInWindow += requests[second];
        servedInWindow += served[second];
      }
      worst = requestsInWindow == 0 ? worst : Math.min(worst, servedInWindow / requestsInWindow);
    }
    return worst;
  }
}
