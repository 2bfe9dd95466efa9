package beaconturn.core;

/** Where the time comes from; nanoseconds since 1970, never going back. */
public interface Clock {
  /** The time now. */
  long now();

  /**
   * A property of the JVM by which only the rehearsal kit has a router believe in a wall clock that
   * is so many nanoseconds off.
   */
  String OFFSET_PROPERTY = "beaconturn.clockOff";

  /** The machine's clock, read once; from then on the monotonic one, which no correction moves. */
  static Clock system() {
    long started = System.nanoTime();
    long epoch = System.currentTimeMillis() * 1_000_000 + Long.getLong(OFFSET_PROPERTY, 0);
    return () -> epoch + (System.nanoTime() - started);
  }
}
