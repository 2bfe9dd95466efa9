package beaconturn.decision;

import java.util.LinkedHashMap;
import java.util.Map;

/** Map of bounded size that evicts the least recently used entry. */
final class LruMap<V> extends LinkedHashMap<Long, V> {
  /**
   * Default capacity of per-key state, in entries; bounds memory at some hundred bytes per entry.
   */
  static final int DEFAULT_CAPACITY = 1 << 13;

  private static final long serialVersionUID = 1L;
  private static final int INITIAL_CAPACITY = 16;
  private static final float LOAD_FACTOR = 0.75f;

  private final int capacity;

  /** Creates an empty map that holds at most {@code capacity} entries. */
  LruMap(int capacity) {
    super(INITIAL_CAPACITY, LOAD_FACTOR, true);
    this.capacity = capacity;
  }

  @Override
  protected boolean removeEldestEntry(Map.Entry<Long, V> eldest) {
    return size() > capacity;
  }
}
