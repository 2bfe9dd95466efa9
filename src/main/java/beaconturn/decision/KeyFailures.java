package beaconturn.decision;

import java.util.Map;

/**
 * At how many caches one after the other the attempts for a key have failed since one was answered.
 * What was not answered at all, or never ran, tells nothing of the key.
 */
final class KeyFailures {
  private final Map<Long, Row> rows;
  private final int enough;

  private record Row(long lastServer, int caches) {}

  /**
   * Keeps {@code most} keys that failed last; {@code enough} caches in a row put it down to the
   * key.
   */
  KeyFailures(int most, int enough) {
    this.rows = new LruMap<>(most);
    this.enough = enough;
  }

  /** An attempt for the key has ended. */
  void closed(long key, long server, AttemptOutcome ending) {
    if (ending == AttemptOutcome.OK || ending == AttemptOutcome.MISS) {
      rows.remove(key);
    } else if (ending == AttemptOutcome.ERROR || ending == AttemptOutcome.RESET) {
      Row row = rows.get(key);
      if (row == null || row.lastServer() != server) {
        rows.put(key, new Row(server, caches(key) + 1));
      }
    }
  }

  /** How many caches; 0 where none has failed, or the key is none. */
  int caches(long key) {
    Row row = key == 0 ? null : rows.get(key);
    return row == null ? 0 : row.caches();
  }

  /** Whether it is the key that is at fault. */
  boolean fail(long key) {
    return caches(key) >= enough;
  }

  /** Whether that is why an attempt ended so: a quick error says that its cache is well. */
  boolean explain(long key, AttemptOutcome ending) {
    return ending == AttemptOutcome.ERROR && fail(key);
  }
}
