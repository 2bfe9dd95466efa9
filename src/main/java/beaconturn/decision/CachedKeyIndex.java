package beaconturn.decision;

import java.util.Map;

/**
 * Which cache lately answered for which key, and how long, as learned, an unused key stays held.
 */
final class CachedKeyIndex {
  private final Map<Long, Long> usedAt;
  private final double step;
  private double heldFor;

  /** {@code heldFor} is the first guess; each surprise moves it by {@code step}, a ratio. */
  CachedKeyIndex(int most, long heldFor, double step) {
    this.heldFor = heldFor;
    this.step = step;
    this.usedAt = new LruMap<>(most);
  }

  /** True where the cache answered for the key so lately that it should still hold it. */
  boolean holds(long key, long server, long now) {
    Long used = usedAt.get(pair(key, server));
    return used != null && now - used <= heldFor;
  }

  /** Notes an answer, and whether the cache had to fetch it. */
  void answered(long key, long server, boolean fetched, long now) {
    Long used = usedAt.put(pair(key, server), now);
    if (used != null && fetched && now - used < heldFor) {
      heldFor *= 1 - step;
    } else if (used != null && !fetched && now - used > heldFor / 2) {
      heldFor *= 1 + step;
    }
  }

  private static long pair(long key, long server) {
    return KeyHash.mix(key ^ KeyHash.mix(server));
  }
}
