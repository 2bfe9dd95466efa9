package beaconturn.core;

import beaconturn.decision.AttemptOutcome;
import beaconturn.decision.CacheStatus;
import beaconturn.protocol.Slice;

/**
 * The result of an attempt.
 *
 * @param outcome how the attempt ended
 * @param endedAtNanos when it ended, by the router's clock
 * @param cacheStatus whether the cache server had the key
 * @param loadReport the values of the response's load report, or {@link #NO_LOAD_REPORT}
 * @param response the response for the client; null if there is none or it was streamed
 */
public record AttemptResult(
    AttemptOutcome outcome,
    long endedAtNanos,
    CacheStatus cacheStatus,
    float[] loadReport,
    Slice response) {
  /** Stands for a missing load report. */
  public static final float[] NO_LOAD_REPORT = {};

  /** A result without a response. */
  public static AttemptResult of(AttemptOutcome outcome, long endedAtNanos) {
    return new AttemptResult(outcome, endedAtNanos, CacheStatus.NONE, NO_LOAD_REPORT, null);
  }
}
