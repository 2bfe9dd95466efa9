package beaconturn.core;

/** A clock that never goes backwards. */
public interface Clock {
  /** The current time, in nanoseconds since the Unix epoch. */
  long now();

  /**
   * The system property with an offset of the wall clock in nanoseconds. Set only by rehearsals, to
   * simulate a wrong clock.
   */
  String OFFSET_PROPERTY = "beaconturn.clockOff";

  /** A clock that starts at the wall-clock time and then follows the monotonic system clock. */
  static Clock system() {
    long startNanos = System.nanoTime();
    long epochNanos = System.currentTimeMillis() * 1_000_000 + Long.getLong(OFFSET_PROPERTY, 0);
    return () -> epochNanos + (System.nanoTime() - startNanos);
  }
}
