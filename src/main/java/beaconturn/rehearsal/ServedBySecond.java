package beaconturn.rehearsal;

import beaconturn.history.HistoryEvent;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Of what clients first asked for in each second of a play, what was served in the end. */
final class ServedBySecond {
  private static final double SECOND = 1e9;
  private static final int WINDOW = 10;
  private final double[] wanted;
  private final double[] served;

  /** Of an account whose play began at a time and has so many seconds. */
  ServedBySecond(List<HistoryEvent> entries, long start, int seconds) {
    wanted = new double[seconds + 1];
    served = new double[seconds + 1];
    Map<String, Integer> askedIn = new HashMap<>();
    for (HistoryEvent entry : entries) {
      if (entry instanceof HistoryEvent.RequestWritten asked
          && askedIn.get(wish(asked.requestId())) == null) {
        int in = (int) Math.max(0, Math.min(seconds, (asked.atNanos() - start) / SECOND));
        askedIn.put(wish(asked.requestId()), in);
        wanted[in]++;
      } else if (entry instanceof HistoryEvent.ResponseReceived answered
          && answered.outcome() == HistoryEvent.ClientOutcome.SERVED
          && askedIn.getOrDefault(wish(answered.requestId()), -1) >= 0) {
        served[askedIn.put(wish(answered.requestId()), -1)]++;
      }
    }
  }

  /** A request's first digits are its number; a try more has the same. */
  private static String wish(String id) {
    return id.substring(0, Math.min(8, id.length()));
  }

  /** The part that was served of what was wanted in a second; 0 where nothing was. */
  double servedShare(int second) {
    return wanted[second] == 0 ? 0 : served[second] / wanted[second];
  }

  /** The same of the worst ten seconds on end; 1 where there are no ten. */
  double worstWindowShare() {
    double worst = 1;
    for (int from = 0; from + WINDOW < wanted.length; from++) {
      double asked = 0;
      double got = 0;
      for (int i = from; i < from + WINDOW; i++) {
        asked += wanted[i];
        got += served[i];
      }
      worst = asked == 0 ? worst : Math.min(worst, got / asked);
    }
    return worst;
  }
}
