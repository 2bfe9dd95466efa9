package beaconturn.zones;

/** What the pooled evidence says of a place, or of a way to it. */
public enum ZoneHealth {
  /** It serves. */
  GOOD,
  /** Too little is seen of it. */
  UNKNOWN,
  /** Whoever sends there finds it bad. */
  BROKEN,
  /** Those of one place alone find it bad: their way to it is. */
  LINK,
  /** Nobody has it in the list any more. */
  NOT_LISTED,
  /** Some have it in the list and others do not: lists are late. */
  LATE_LIST
}
