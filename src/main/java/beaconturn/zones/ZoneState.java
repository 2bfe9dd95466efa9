package beaconturn.zones;

/** Where the keys of a zone are served. The names in lower case stand in the store. */
public enum ZoneState {
  /** There, but for a trial part. */
  NEAR,
  /** More is wanted there than it carries: a part is served elsewhere. */
  SPILLING,
  /** Elsewhere, but for a trial part. */
  FAILED_OVER,
  /** They come back by steps. */
  RETURNING,
  /** Elsewhere, since the zone's routers alone do not reach it. */
  SPLIT;

  /** Whether nearly all keys are served elsewhere; a zone of no known state is not away. */
  static boolean isAway(ZoneState state) {
    return state == FAILED_OVER || state == SPLIT;
  }
}
