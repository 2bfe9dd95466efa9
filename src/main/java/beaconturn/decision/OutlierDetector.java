package beaconturn.decision;

/**
 * Ejects caches whose answers fail or come late. An ejected cache gets trials, one request at a
 * time, and is taken back when they go well.
 */
final class OutlierDetector {
  /**
   * Share of bad samples above which a cache is ejected, on top of the share of the whole fleet.
   */
  private static final double MAX_BAD_SHARE = 0.25;

  /** An ejected cache is taken back below this share of bad samples. */
  private static final double READMISSION_BAD_SHARE = MAX_BAD_SHARE / 2;

  /** Share of the ring that may be ejected; beyond it the fleet is at fault, not its caches. */
  private static final double MAX_EJECTED_SHARE = 1.0 / 3;

  /** Gap before the first trial, in mean answer times; each failed trial doubles it. */
  private static final double FIRST_TRIAL_ANSWER_TIMES = 8;

  /** Longest gap between trials, in mean answer times. */
  private static final double LONGEST_TRIAL_ANSWER_TIMES = 64;

  private final EventClock clock;
  private final HashRing ring;
  private final ResponseTimes times;

  /** Moving share of bad samples among those of all caches, 0 to 1. */
  private double fleetBadShare;

  private long fleetSampledAtNanos;

  OutlierDetector(EventClock clock, HashRing ring, ResponseTimes times) {
    this.clock = clock;
    this.ring = ring;
    this.times = times;
  }

  /**
   * Whether the fleet as a whole has the share of bad samples for which a single cache is ejected.
   */
  boolean isFleetBad() {
    return fleetBadShare >= MAX_BAD_SHARE;
  }

  /** Whether the fleet as a whole has half of that share. */
  boolean isFleetDoubtful() {
    return fleetBadShare >= MAX_BAD_SHARE / 2;
  }

  /** Whether the request does not go to the cache: it is ejected, and this is no trial. */
  boolean isPassedOver(ServerState server, RequestState request) {
    if (!server.outlier().ejected) {
      return false;
    }
    boolean trialDue = clock.nowNanos() >= server.outlier().trialAtNanos;
    return !trialDue || server.load().inFlight() > 0 || !request.isIdempotent();
  }

  /**
   * Takes one sample of a cache's health, and ejects it or takes it back. Quick errors must not
   * attract keys by keeping loads low.
   */
  void sample(ServerState server, boolean bad) {
    OutlierState state = server.outlier();
    addSample(state, bad);
    if (state.ejected) {
      trialEnded(state, bad);
    }
    boolean outlier = isOutlier(state);
    if (outlier && !state.ejected && isEjectionLimitReached()) {
      return;
    }
    if (outlier != state.ejected) {
      state.trialGapAnswerTimes = FIRST_TRIAL_ANSWER_TIMES;
    }
    state.ejected = outlier;
    double gapNanos = state.trialGapAnswerTimes * times.answerNanos().mean();
    state.trialAtNanos = clock.nowNanos() + (long) gapNanos;
  }

  private void addSample(OutlierState state, boolean bad) {
    double usualWeight = MovingAverage.USUAL_SAMPLE_WEIGHT;
    double fleetWeight = usualWeight / Math.max(1, ring.size());
    double sample = bad ? 1 : 0;
    state.badShare += weight(usualWeight, state.sampledAtNanos) * (sample - state.badShare);
    fleetBadShare += weight(fleetWeight, fleetSampledAtNanos) * (sample - fleetBadShare);
    state.sampledAtNanos = clock.nowNanos();
    fleetSampledAtNanos = clock.nowNanos();
  }

  /**
   * Weight of a new sample: the usual one, or more after a long gap, as samples from before it tell
   * little of the cache as it is now.
   */
  private double weight(double usualWeight, long lastSampleNanos) {
    boolean first = lastSampleNanos == 0 || !times.answerNanos().hasSamples();
    double gapNanos = first ? 0 : clock.nowNanos() - lastSampleNanos;
    double memoryNanos = LONGEST_TRIAL_ANSWER_TIMES * (times.answerNanos().mean() + 1);
    return Math.max(usualWeight, gapNanos / (gapNanos + memoryNanos));
  }

  private static void trialEnded(OutlierState state, boolean bad) {
    if (bad) {
      state.trialGapAnswerTimes =
          Math.min(2 * state.trialGapAnswerTimes, LONGEST_TRIAL_ANSWER_TIMES);
    } else {
      state.badShare /= 2;
      state.trialGapAnswerTimes = FIRST_TRIAL_ANSWER_TIMES;
    }
  }

  private boolean isOutlier(OutlierState state) {
    double maxBadShare = state.ejected ? READMISSION_BAD_SHARE : MAX_BAD_SHARE + fleetBadShare;
    return state.badShare > maxBadShare;
  }

  private boolean isEjectionLimitReached() {
    int withThisOne = 1;
    for (ServerState member : ring.members()) {
      if (member.outlier().ejected) {
        withThisOne++;
      }
    }
    return withThisOne > Math.max(1, ring.size() * MAX_EJECTED_SHARE);
  }
}
