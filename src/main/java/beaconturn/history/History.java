package beaconturn.history;

import java.util.ArrayList;
import java.util.List;
import java.util.zip.CRC32C;

/** Collects the events of a rehearsal in the order in which they are added. Thread-safe. */
public final class History {
  private static final int CHECKSUM_SHIFT_BITS = 32;
  private final List<HistoryEvent> events = new ArrayList<>();

  /** Appends an event. */
  public synchronized void add(HistoryEvent event) {
    events.add(event);
  }

  /** Returns a copy of all events so far. */
  public synchronized List<HistoryEvent> events() {
    return List.copyOf(events);
  }

  /** Returns the digest that represents a value in the history: its checksum and its length. */
  public static long digest(byte[] value) {
    CRC32C checksum = new CRC32C();
    checksum.update(value, 0, value.length);
    return checksum.getValue() << CHECKSUM_SHIFT_BITS | value.length;
  }
}
