package beaconturn.net.control;

/**
 * Milliseconds of this machine's monotonic clock, which all processes on it read alike and no
 * correction of the wall clock moves. Begins anew with the machine: of use only between processes
 * that run there one after the other.
 */
public final class MonotonicMillis {
  private static final long NANOS_PER_MILLI = 1_000_000;

  private MonotonicMillis() {}

  /**
   * The time now; Java's monotonic clock is the kernel's, without an origin of the process's own.
   */
  public static long millis() {
    return System.nanoTime() / NANOS_PER_MILLI;
  }
}
