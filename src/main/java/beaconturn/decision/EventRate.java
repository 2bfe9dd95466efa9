package beaconturn.decision;

/** Events a nanosecond over about the given time, and the highest such rate of late. */
final class EventRate {
  private static final double PEAK_MEMORY = 4;
  private final double memory;
  private double count;
  private double peak;
  private long at;

  EventRate(double memory) {
    this.memory = Math.max(1, memory);
  }

  void count(long now) {
    age(now);
    count++;
    peak = Math.max(peak, count);
  }

  double perNano(long now) {
    age(now);
    return count / memory;
  }

  /**
   * The highest rate of late, less one standard deviation of its count; it fades over some
   * memories.
   */
  double peakPerNano(long now) {
    age(now);
    return Math.max(0, peak - Math.sqrt(peak)) / memory;
  }

  /** Goes on from a rate and a peak that were counted elsewhere. */
  void begin(double perNano, double highest, long now) {
    age(now);
    count = Math.max(count, perNano * memory);
    peak = Math.max(Math.max(peak, count), highest * memory);
  }

  /** The highest rate of late, as it was counted. */
  double highest(long now) {
    age(now);
    return peak / memory;
  }

  private void age(long now) {
    double passed = (now - at) / memory;
    count *= Math.exp(-passed);
    peak = Math.max(count, peak * Math.exp(-passed / PEAK_MEMORY));
    at = now;
  }
}
