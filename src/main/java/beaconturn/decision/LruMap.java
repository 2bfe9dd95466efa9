package beaconturn.decision;

import java.util.LinkedHashMap;
import java.util.Map;

/** A map of bounded size: what was used longest ago makes room. */
final class LruMap<V> extends LinkedHashMap<Long, V> {
  private static final long serialVersionUID = 1L;
  private final int most;

  /** Keeps the {@code most} entries that were used last. */
  LruMap(int most) {
    super(16, 0.75f, true);
    this.most = most;
  }

  @Override
  protected boolean removeEldestEntry(Map.Entry<Long, V> eldest) {
    return size() > most;
  }
}
