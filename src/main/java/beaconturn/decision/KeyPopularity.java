package beaconturn.decision;

import java.util.Map;

/**
 * The share of recent requests that each key has; every request fades all earlier ones a little.
 */
final class KeyPopularity {
  private final Map<Long, FadingCount> counts;
  private long requests;

  /** Requests for one key, faded up to the time when it was asked for last. */
  private static final class FadingCount {
    private double value;
    private long countedAtRequest;
  }

  /** Remembers the {@code keys} that were asked for last. */
  KeyPopularity(int keys) {
    this.counts = new LruMap<>(keys);
  }

  /**
   * Counts a request for the key; returns the share that earlier ones for it have of about the last
   * {@code window} requests, or of all when there were fewer. A first request is no sign of a hot
   * key.
   */
  double count(long key, double window) {
    requests++;
    FadingCount count = counts.computeIfAbsent(key, k -> new FadingCount());
    count.value = count.value * Math.exp((count.countedAtRequest - requests) / window) + 1;
    count.countedAtRequest = requests;
    return (count.value - 1) / (window * (1 - Math.exp(-requests / window)));
  }
}
