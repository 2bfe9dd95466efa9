package beaconturn.zones;

/** What an operator may say of a zone. The names in lower case stand in the store. */
public enum ZoneOverrideKind {
  /** Nothing goes there, but for the trial part. */
  DRAIN,
  /** Its allocation stays as it is. */
  HOLD,
  /** At most a part of its keys stays. */
  WEIGHT
}
