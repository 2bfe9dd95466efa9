package beaconturn.stats;

/** Whether a cache server had the requested key, as its response states. */
public enum CacheLookup {
  /** The cache had the key. */
  HIT,
  /** The cache did not have the key. */
  MISS,
  /** The response does not state it. */
  UNKNOWN
}
