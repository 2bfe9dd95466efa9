package beaconturn.decision;

/** What {@link OutlierDetector} keeps of one server; it alone writes these fields. */
final class OutlierState {
  /** Moving share of samples that were bad, 0 to 1. */
  double failureShare;

  /** Time of the last sample; 0 before the first. */
  long sampledAtNanos;

  boolean ejected;

  /** From one trial of an ejected server to the next, as a multiple of the mean answer time. */
  double trialGapResponseTimes;

  /** From when on an ejected server may get a trial. */
  long trialAtNanos;

  /** Takes over all that another router has found. */
  void copyFrom(OutlierState other) {
    failureShare = other.failureShare;
    sampledAtNanos = other.sampledAtNanos;
    ejected = other.ejected;
    trialGapResponseTimes = other.trialGapResponseTimes;
    trialAtNanos = other.trialAtNanos;
  }

  /** The server has started afresh: nothing is held against it. */
  void reset() {
    failureShare = 0;
    ejected = false;
  }
}
