package beaconturn.decision;

/** What a server reports about the key of a response. */
public enum CacheStatus {
  /** No status was reported. */
  NONE,
  /** The key was cached. */
  HIT,
  /** The key was not cached. */
  MISS,
  /** The key was not cached, and a fetch of it was already in progress. */
  MISS_FETCHING
}
