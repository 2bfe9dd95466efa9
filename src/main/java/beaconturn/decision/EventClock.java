package beaconturn.decision;

/**
 * Time of the event that a router is handling. All components of a router share this clock, so that
 * an event has a single time.
 */
final class EventClock {
  private long nowNanos;

  EventClock(long nowNanos) {
    this.nowNanos = nowNanos;
  }

  /** Returns the time of the current event, in nanoseconds of the host's monotonic clock. */
  long nowNanos() {
    return nowNanos;
  }

  /** Advances the clock to the time of the next event. */
  void moveTo(long nanos) {
    nowNanos = nanos;
  }
}
