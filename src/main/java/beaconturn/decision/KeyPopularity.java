package beaconturn.decision;

import java.util.Map;

/** Estimates each key's share of recent requests, with exponential decay per request. */
final class KeyPopularity {
  private final Map<Long, DecayingCount> counts;
  private long requests;

  /** Requests for one key, decayed up to its last request. */
  private static final class DecayingCount {
    private double value;
    private long countedAtRequest;
  }

  /** Creates an estimator for the {@code capacity} most recently requested keys. */
  KeyPopularity(int capacity) {
    this.counts = new LruMap<>(capacity);
  }

  /**
   * Counts a request for the key. Returns the share of its earlier requests among about the last
   * {@code window} requests, or among all if there were fewer; a first request does not indicate a
   * hot key.
   */
  double countRequest(long key, double window) {
    requests++;
    DecayingCount count = counts.computeIfAbsent(key, k -> new DecayingCount());
    count.value = count.value * StrictMath.exp((count.countedAtRequest - requests) / window) + 1;
    count.countedAtRequest = requests;
    return (count.value - 1) / (window * (1 - StrictMath.exp(-requests / window)));
  }
}
