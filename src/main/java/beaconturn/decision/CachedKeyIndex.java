package beaconturn.decision;

import java.util.Map;

/**
 * Which cache lately answered for which key, and how long, as learned, an unused key stays cached.
 */
final class CachedKeyIndex {
  /** Each surprise moves the learned time by this ratio. */
  private static final double LEARNING_RATIO = 0.1;

  private final Map<Long, Long> usedAtNanos = new LruMap<>(LruMap.USUAL_CAPACITY);
  private double cachedForNanos;

  /** Makes an empty index with a first guess at the time that an unused key stays cached. */
  CachedKeyIndex(long firstGuessNanos) {
    this.cachedForNanos = firstGuessNanos;
  }

  /** Whether the cache answered for the key so lately that it should still hold it. */
  boolean isCached(long key, long serverId, long nowNanos) {
    Long used = usedAtNanos.get(pair(key, serverId));
    return used != null && nowNanos - used <= cachedForNanos;
  }

  /** Notes an answer, and whether the cache had to fetch it. */
  void answered(long key, long serverId, boolean fetched, long nowNanos) {
    Long used = usedAtNanos.put(pair(key, serverId), nowNanos);
    if (used == null) {
      return;
    }
    long unusedNanos = nowNanos - used;
    if (fetched && unusedNanos < cachedForNanos) {
      cachedForNanos *= 1 - LEARNING_RATIO;
    } else if (!fetched && unusedNanos > cachedForNanos / 2) {
      cachedForNanos *= 1 + LEARNING_RATIO;
    }
  }

  private static long pair(long key, long serverId) {
    return KeyHash.mix(key ^ KeyHash.mix(serverId));
  }
}
