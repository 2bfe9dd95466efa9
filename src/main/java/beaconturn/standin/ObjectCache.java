package beaconturn.standin;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The objects that a cache server holds: bounded by bytes, the least recently used go first, and
 * each lives for a time. Expired ones are found when they are asked for.
 */
final class ObjectCache {
  /** What an object takes beside its value, so that many small ones are not free. */
  static final int OVERHEAD_BYTES = 64;

  private final long capacityBytes;
  private final long timeToLiveNanos;
  private final Map<String, Item> items = new LinkedHashMap<>(16, 0.75f, true);
  private long usedBytes;

  /** One object: the origin's version of its key, its bytes, and when it is no longer served. */
  record Item(long version, int size, long until) {}

  /** A store of so many bytes whose objects live so many nanoseconds. */
  ObjectCache(long capacityBytes, long timeToLiveNanos) {
    this.capacityBytes = capacityBytes;
    this.timeToLiveNanos = timeToLiveNanos;
  }

  /** The object of the key if it is there and still alive, else null. */
  Item get(String key, long now) {
    Item found = items.get(key);
    if (found != null && found.until() <= now) {
      drop(key);
      return null;
    }
    return found;
  }

  void put(String key, long version, int size, long now) {
    drop(key);
    items.put(key, new Item(version, size, now + timeToLiveNanos));
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

  long bytes() {
    return usedBytes;
  }
}
