package beaconturn.decision;

import java.util.Map;

/**
 * Tracks which caches recently served which keys, and learns how long an unused key stays cached.
 */
final class CachedKeyIndex {
  /** Relative change of the learned retention for each observation that contradicts it. */
  private static final double LEARNING_RATE = 0.1;

  private final Map<Long, Long> lastUsedNanosByKeyAndServer = new LruMap<>(LruMap.DEFAULT_CAPACITY);
  private double retentionNanos;

  /** Creates an empty index with an initial estimate of the retention. */
  CachedKeyIndex(long initialRetentionNanos) {
    this.retentionNanos = initialRetentionNanos;
  }

  /** Whether the cache served the key recently enough that it should still hold it. */
  boolean isCached(long key, long serverId, long nowNanos) {
    Long lastUsedNanos = lastUsedNanosByKeyAndServer.get(combinedHash(key, serverId));
    return lastUsedNanos != null && nowNanos - lastUsedNanos <= retentionNanos;
  }

  /** Records a response, and whether the cache had to fetch the key. */
  void recordResponse(long key, long serverId, boolean fetched, long nowNanos) {
    Long lastUsedNanos = lastUsedNanosByKeyAndServer.put(combinedHash(key, serverId), nowNanos);
    if (lastUsedNanos == null) {
      return;
    }
    long unusedNanos = nowNanos - lastUsedNanos;
    if (fetched && unusedNanos < retentionNanos) {
      retentionNanos *= 1 - LEARNING_RATE;
    } else if (!fetched && unusedNanos > retentionNanos / 2) {
      retentionNanos *= 1 + LEARNING_RATE;
    }
  }

  private static long combinedHash(long key, long serverId) {
    return KeyHash.mix(key ^ KeyHash.mix(serverId));
  }
}
