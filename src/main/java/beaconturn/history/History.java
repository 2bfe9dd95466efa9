package beaconturn.history;

import java.util.ArrayList;
import java.util.List;
import java.util.zip.CRC32C;

/** Collects the lines of an account from any thread, in the order in which they come. */
public final class History {
  private static final int WORD = 32;
  private final List<HistoryEvent> entries = new ArrayList<>();

  /** Adds a line. */
  public synchronized void add(HistoryEvent entry) {
    entries.add(entry);
  }

  /** All lines so far. */
  public synchronized List<HistoryEvent> entries() {
    return List.copyOf(entries);
  }

  /** What stands for a value in the account: its checksum and its length. */
  public static long digest(byte[] value) {
    CRC32C sum = new CRC32C();
    sum.update(value, 0, value.length);
    return sum.getValue() << WORD | value.length;
  }
}
