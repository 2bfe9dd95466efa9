package beaconturn.core;

import beaconturn.decision.Routing;
import beaconturn.protocol.Slice;

/** How an attempt ended and when; {@code answer} is null unless a cache server answered it. */
public record AttemptResult(
    Routing.Ending ending, long at, Routing.Note note, float[] report, Slice answer) {
  /** In the place of a load report where none came. */
  public static final float[] NO_REPORT = {};

  /** An end without an answer. */
  public static AttemptResult of(Routing.Ending ending, long at) {
    return new AttemptResult(ending, at, Routing.Note.NONE, NO_REPORT, null);
  }
}
