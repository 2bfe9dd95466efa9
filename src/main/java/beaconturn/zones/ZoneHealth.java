package beaconturn.zones;

/** What the pooled evidence says of a zone, or of the way to it from another. */
public enum ZoneHealth {
  /** It serves. */
  GOOD,
  /** Too little is seen of it. */
  UNKNOWN,
  /** Whoever sends there finds it bad. */
  BROKEN,
  /** Those of one zone alone find it bad: their way to it is. */
  LINK,
  /** Nobody has it in the endpoint list any more. */
  NOT_LISTED,
  /** Some have it in the endpoint list and others do not: lists are late. */
  LATE_LIST
}
