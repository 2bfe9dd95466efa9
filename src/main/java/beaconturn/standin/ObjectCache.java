package beaconturn.standin;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The objects of a cache server: bounded in bytes with least-recently-used eviction, each with a
 * time to live. Expired objects are dropped when they are looked up.
 */
final class ObjectCache {
  /** Bytes accounted for each object in addition to its value, as small objects have overhead. */
  static final int OVERHEAD_BYTES = 64;

  private final long capacityBytes;
  private final long timeToLiveNanos;
  private final Map<String, Item> items = new LinkedHashMap<>(16, 0.75f, true);
  private long usedBytes;

  /**
   * A cached object.
   *
   * @param version the origin's version of its key
   * @param size bytes of its value
   * @param expiryNanos when it expires
   */
  record Item(long version, int size, long expiryNanos) {}

  ObjectCache(long capacityBytes, long timeToLiveNanos) {
    this.capacityBytes = capacityBytes;
    this.timeToLiveNanos = timeToLiveNanos;
  }

  /** Returns the object of a key, or null if it is absent or has expired. */
  Item get(String key, long nowNanos) {
    Item found = items.get(key);
    if (found != null && found.expiryNanos() <= nowNanos) {
      drop(key);
      return null;
    }
    return found;
  }

  void put(String key, long version, int size, long nowNanos) {
    drop(key);
    items.put(key, new Item(version, size, nowNanos + timeToLiveNanos));
    usedBytes += size + OVERHEAD_BYTES;
    while (usedBytes > capacityBytes && !items.isEmpty()) {
      drop(items.keySet().iterator().next());
    }
  }

  void drop(String key) {
    Item old = items.remove(key);
    usedBytes -= old == null ? 0 : old.size() + OVERHEAD_BYTES;
  }

  void clear() {
    items.clear();
    usedBytes = 0;
  }

  int count() {
    return items.size();
  }

  /** Returns the accounted size of all objects, with their overhead. */
  long bytes() {
    return usedBytes;
  }
}
