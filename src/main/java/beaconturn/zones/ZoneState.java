package beaconturn.zones;

/** Where the keys of a zone are served. The lower-case names are stored. */
public enum ZoneState {
  /** By the zone itself, except for a trial weight. */
  NEAR,
  /** Partly by other zones, because demand exceeds the capacity of the zone. */
  SPILLING,
  /** By other zones, except for a trial weight. */
  FAILED_OVER,
  /** Returning to the zone step by step. */
  RETURNING,
  /** By other zones, because only the zone's own routers cannot reach it. */
  SPLIT;

  /**
   * Returns whether nearly all keys are served by other zones; false for an unknown (null) state.
   */
  static boolean isServedElsewhere(ZoneState state) {
    return state == FAILED_OVER || state == SPLIT;
  }
}
