package beaconturn.decision;

import java.util.LinkedHashMap;
import java.util.Map;

/** A map of bounded size that drops the entry which was used longest ago. */
final class LruMap<V> extends LinkedHashMap<Long, V> {
  /**
   * The usual bound on what is remembered of keys, in entries: it bounds memory, at some hundred
   * bytes an entry.
   */
  static final int DEFAULT_CAPACITY = 1 << 13;

  private static final long serialVersionUID = 1L;
  private static final int INITIAL_CAPACITY = 16;
  private static final float LOAD_FACTOR = 0.75f;

  private final int capacity;

  /** Makes an empty map that keeps {@code capacity} entries at the most. */
  LruMap(int capacity) {
    super(INITIAL_CAPACITY, LOAD_FACTOR, true);
    this.capacity = capacity;
  }

  @Override
  protected boolean removeEldestEntry(Map.Entry<Long, V> eldest) {
    return size() > capacity;
  }
}
