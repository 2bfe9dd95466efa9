package beaconturn.zones;

/** Kinds of operator overrides. The lower-case names are stored. */
public enum ZoneOverrideKind {
  /** Moves all keys but the trial weight to other zones. */
  DRAIN,
  /** Keeps the allocation of the zone as it is. */
  HOLD,
  /** Limits the weight of the keys that the zone serves itself. */
  WEIGHT
}
