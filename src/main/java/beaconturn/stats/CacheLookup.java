package beaconturn.stats;

/** How a cache server had the key that it answered for. */
public enum CacheLookup {
  /** It had the key. */
  HIT,
  /** It had to get the key from its origin. */
  MISS,
  /** It did not say. */
  UNKNOWN
}
