package beaconturn.decision;

/**
 * The time of the event that a router is handling. All rules of one router read this one clock, so
 * that an event happens at one time for all of them.
 */
final class EventClock {
  private long nowNanos;

  EventClock(long nowNanos) {
    this.nowNanos = nowNanos;
  }

  /** The time of the current event, in nanoseconds of the host's monotonic clock. */
  long nowNanos() {
    return nowNanos;
  }

  /** Moves the clock to the time of the next event. */
  void moveTo(long nanos) {
    nowNanos = nanos;
  }
}
