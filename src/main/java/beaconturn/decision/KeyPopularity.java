package beaconturn.decision;

import java.util.Map;

/**
 * The part that each key has of the requests of late; every request fades all earlier ones a
 * little.
 */
final class KeyPopularity {
  private static final class Count {
    double value;
    long at;
  }

  private final Map<Long, Count> counts;
  private long requests;

  /** Keeps the {@code most} keys that were asked for last. */
  KeyPopularity(int most) {
    this.counts = new LruMap<>(most);
  }

  /**
   * Counts a request for the key; returns the part that earlier ones for it have of about the last
   * {@code window} requests, or of all when there were fewer. A first request is no sign of a hot
   * key.
   */
  double count(long key, double window) {
    requests++;
    Count c = counts.computeIfAbsent(key, k -> new Count());
    c.value = c.value * Math.exp((c.at - requests) / window) + 1;
    c.at = requests;
    return (c.value - 1) / (window * (1 - Math.exp(-requests / window)));
  }
}
