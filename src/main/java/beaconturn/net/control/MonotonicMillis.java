package beaconturn.net.control;

/**
 * Reads the machine's monotonic clock in milliseconds. All processes on the machine read the same
 * clock, and adjustments of the wall clock do not affect it. The clock restarts with the machine,
 * so values are comparable only between processes of the same boot.
 */
public final class MonotonicMillis {
  private static final long NANOS_PER_MILLI = 1_000_000;

  private MonotonicMillis() {}

  /** Returns the current time. On Linux, {@link System#nanoTime} has no per-process origin. */
  public static long millis() {
    return System.nanoTime() / NANOS_PER_MILLI;
  }
}
