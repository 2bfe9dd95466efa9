package beaconturn.decision;

/**
 * Ejects caches whose attempts fail or are late. An ejected cache gets trial requests, one at a
 * time, and is readmitted when they succeed.
 */
final class OutlierDetector {
  /**
   * Share of failed samples above which a cache is ejected, in addition to the fleet's own share.
   */
  private static final double EJECTION_FAILURE_SHARE = 0.25;

  /** Share of failed samples below which an ejected cache is readmitted. */
  private static final double READMISSION_FAILURE_SHARE = EJECTION_FAILURE_SHARE / 2;

  /**
   * Share of the ring that may be ejected; beyond it the problem is not specific to single caches.
   */
  private static final double MAX_EJECTED_SHARE = 1.0 / 3;

  /** Delay before the first trial, in mean response times; doubles with each failed trial. */
  private static final double INITIAL_TRIAL_GAP_RESPONSE_TIMES = 8;

  /** Longest delay between trials, in mean response times. */
  private static final double MAX_TRIAL_GAP_RESPONSE_TIMES = 64;

  private final EventClock clock;
  private final HashRing ring;
  private final ResponseTimes times;

  /** Moving average of failed samples over all caches, 0 to 1. */
  private double fleetFailureShare;

  private long fleetSampledAtNanos;

  OutlierDetector(EventClock clock, HashRing ring, ResponseTimes times) {
    this.clock = clock;
    this.ring = ring;
    this.times = times;
  }

  /** Whether the whole fleet has the share of failed samples that would eject a single cache. */
  boolean isFleetUnhealthy() {
    return fleetFailureShare >= EJECTION_FAILURE_SHARE;
  }

  /** Whether the whole fleet has half the share of failed samples that makes it unhealthy. */
  boolean isFleetDegraded() {
    return fleetFailureShare >= EJECTION_FAILURE_SHARE / 2;
  }

  /**
   * Whether the request must avoid the cache because it is ejected and the request is not a trial.
   */
  boolean isSkipped(ServerState server, RequestState request) {
    if (!server.outlier().ejected) {
      return false;
    }
    boolean trialDue = clock.nowNanos() >= server.outlier().trialAtNanos;
    return !trialDue || server.load().inFlight() > 0 || !request.isIdempotent();
  }

  /**
   * Records one health sample of a cache, and ejects or readmits the cache. Without ejection, a
   * cache that fails fast would attract requests through its low load.
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
   * Returns the weight of a new sample: the base weight, or more after a long gap, since older
   * samples say little about the current state.
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
    double maxFailureShare =
        state.ejected ? READMISSION_FAILURE_SHARE : EJECTION_FAILURE_SHARE + fleetFailureShare;
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
