package beaconturn.core;

import beaconturn.decision.AttemptOutcome;
import beaconturn.decision.CacheStatus;
import beaconturn.protocol.Slice;

/** How an attempt ended and when; {@code answer} is null unless a cache server answered it. */
public record AttemptResult(
    AttemptOutcome ending, long at, CacheStatus note, float[] report, Slice answer) {
  /** In the place of a load report where none came. */
  public static final float[] NO_REPORT = {};

  /** An end without an answer. */
  public static AttemptResult of(AttemptOutcome ending, long at) {
    return new AttemptResult(ending, at, CacheStatus.NONE, NO_REPORT, null);
  }
}
