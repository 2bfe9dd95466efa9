package beaconturn.decision;

/** What a server says about the key that it answers for. */
public enum CacheStatus {
  /** Nothing. */
  NONE,
  /** It held the key. */
  HIT,
  /** It did not. */
  MISS,
  /** It did not, and a fetch was under way already. */
  MISS_FETCHING
}
