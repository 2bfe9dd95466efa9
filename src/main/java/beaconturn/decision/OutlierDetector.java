package beaconturn.decision;

/**
 * Ejects caches whose answers fail or come late. An ejected cache gets trials, one request at a
 * time, and is taken back when they go well.
 */
final class OutlierDetector {
  /**
   * Share of failed samples above which a cache is ejected, on top of the share of the whole fleet.
   */
  private static final double EJECTION_FAILURE_SHARE = 0.25;

  /** An ejected cache is taken back below this share of failed samples. */
  private static final double READMISSION_FAILURE_SHARE = EJECTION_FAILURE_SHARE / 2;

  /** Share of the ring that may be ejected; beyond it the fleet is at fault, not its caches. */
  private static final double MAX_EJECTED_SHARE = 1.0 / 3;

  /** Gap before the first trial, in mean answer times; each failed trial doubles it. */
  private static final double INITIAL_TRIAL_GAP_RESPONSE_TIMES = 8;

  /** Longest gap between trials, in mean answer times. */
  private static final double MAX_TRIAL_GAP_RESPONSE_TIMES = 64;

  private final EventClock clock;
  private final HashRing ring;
  private final ResponseTimes times;

  /** Moving share of failed samples among those of all caches, 0 to 1. */
  private double fleetFailureShare;

  private long fleetSampledAtNanos;

  OutlierDetector(EventClock clock, HashRing ring, ResponseTimes times) {
    this.clock = clock;
    this.ring = ring;
    this.times = times;
  }

  /**
   * Whether the fleet as a whole has the share of failed samples for which a single cache is ejected.
   */
  boolean isFleetUnhealthy() {
    return fleetFailureShare >= EJECTION_FAILURE_SHARE;
  }

  /** Whether the fleet as a whole has half of that share. */
  boolean isFleetDegraded() {
    return fleetFailureShare >= EJECTION_FAILURE_SHARE / 2;
  }

  /** Whether the request does not go to the cache: it is ejected, and this is no trial. */
  boolean isSkipped(ServerState server, RequestState request) {
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
  void recordSample(ServerState server, boolean failed) {
    OutlierState state = server.outlier();
    addSample(state, failed);
    if (state.ejected) {
      trialEnded(state, failed);
    }
    boolean outlier = isOutlier(state);
    if (outlier && !state.ejected && isEjectionLimitReached()) {
      return;
    }
    if (outlier != state.ejected) {
      state.trialGapResponseTimes = INITIAL_TRIAL_GAP_RESPONSE_TIMES;
    }
    state.ejected = outlier;
    double gapNanos = state.trialGapResponseTimes * times.responseNanos().mean();
    state.trialAtNanos = clock.nowNanos() + (long) gapNanos;
  }

  private void addSample(OutlierState state, boolean failed) {
    double baseWeight = MovingAverage.DEFAULT_SAMPLE_WEIGHT;
    double fleetWeight = baseWeight / Math.max(1, ring.size());
    double sample = failed ? 1 : 0;
    state.failureShare += weight(baseWeight, state.sampledAtNanos) * (sample - state.failureShare);
    fleetFailureShare += weight(fleetWeight, fleetSampledAtNanos) * (sample - fleetFailureShare);
    state.sampledAtNanos = clock.nowNanos();
    fleetSampledAtNanos = clock.nowNanos();
  }

  /**
   * Weight of a new sample: the usual one, or more after a long gap, as samples from before it tell
   * little of the cache as it is now.
   */
  private double weight(double baseWeight, long lastSampleNanos) {
    boolean first = lastSampleNanos == 0 || !times.responseNanos().hasSamples();
    double gapNanos = first ? 0 : clock.nowNanos() - lastSampleNanos;
    double windowNanos = MAX_TRIAL_GAP_RESPONSE_TIMES * (times.responseNanos().mean() + 1);
    return Math.max(baseWeight, gapNanos / (gapNanos + windowNanos));
  }

  private static void trialEnded(OutlierState state, boolean failed) {
    if (failed) {
      state.trialGapResponseTimes =
          Math.min(2 * state.trialGapResponseTimes, MAX_TRIAL_GAP_RESPONSE_TIMES);
    } else {
      state.failureShare /= 2;
      state.trialGapResponseTimes = INITIAL_TRIAL_GAP_RESPONSE_TIMES;
    }
  }

  private boolean isOutlier(OutlierState state) {
    double maxFailureShare = state.ejected ? READMISSION_FAILURE_SHARE : EJECTION_FAILURE_SHARE + fleetFailureShare;
    return state.failureShare > maxFailureShare;
  }

  private boolean isEjectionLimitReached() {
    int ejectedCount = 1;
    for (ServerState member : ring.members()) {
      if (member.outlier().ejected) {
        ejectedCount++;
      }
    }
    return ejectedCount > Math.max(1, ring.size() * MAX_EJECTED_SHARE);
  }
}
