package beaconturn.decision;

/** Outlier detection state of one server, written only by {@link OutlierDetector}. */
final class OutlierState {
  /** Moving average of failed samples, 0 to 1. */
  double failureShare;

  /** Time of the last sample; 0 before the first. */
  long sampledAtNanos;

  boolean ejected;

  /** Delay between trials of an ejected server, in mean response times. */
  double trialGapResponseTimes;

  /** Earliest time of the next trial of an ejected server. */
  long trialAtNanos;

  /** Copies the state found by another router. */
  void copyFrom(OutlierState other) {
    failureShare = other.failureShare;
    sampledAtNanos = other.sampledAtNanos;
    ejected = other.ejected;
    trialGapResponseTimes = other.trialGapResponseTimes;
    trialAtNanos = other.trialAtNanos;
  }

  /** Clears failures after a restart of the server. */
  void reset() {
    failureShare = 0;
    ejected = false;
  }
}
