package beaconturn.core;

import beaconturn.decision.AttemptOutcome;
import beaconturn.decision.CacheStatus;
import beaconturn.protocol.Slice;

/**
 * How an attempt ended.
 *
 * @param outcome how it ended
 * @param endedAtNanos when, by the router's clock
 * @param cacheStatus what the cache server said about the key
 * @param loadReport the figures that came with the answer, or {@link #NO_LOAD_REPORT}
 * @param response the answer for the client, or null unless a cache server gave one whole
 */
public record AttemptResult(
    AttemptOutcome outcome,
    long endedAtNanos,
    CacheStatus cacheStatus,
    float[] loadReport,
    Slice response) {
  /** In the place of a load report where none came. */
  public static final float[] NO_LOAD_REPORT = {};

  /** An end without an answer. */
  public static AttemptResult of(AttemptOutcome outcome, long endedAtNanos) {
    return new AttemptResult(outcome, endedAtNanos, CacheStatus.NONE, NO_LOAD_REPORT, null);
  }
}
