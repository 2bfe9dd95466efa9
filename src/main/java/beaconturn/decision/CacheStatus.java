package beaconturn.decision;

/** What a server said about the key it answered for. */
public enum CacheStatus {
  NONE,
  HIT,
  MISS,
  MISS_FETCHING
}
