package beaconturn.decision;

/** Rate of events over a sliding, exponentially fading window, and its recent peak. */
final class EventRate {
  /** The peak fades over this many windows. */
  private static final double PEAK_WINDOWS = 4;

  private final double windowNanos;
  private double count;
  private double peakCount;
  private long agedAtNanos;

  /** Makes a rate of 0 over a window of the given length. */
  EventRate(double windowNanos) {
    this.windowNanos = Math.max(1, windowNanos);
  }

  /** Counts one event. */
  void count(long nowNanos) {
    age(nowNanos);
    count++;
    peakCount = Math.max(peakCount, count);
  }

  /** The rate, in events a nanosecond. */
  double perNano(long nowNanos) {
    age(nowNanos);
    return count / windowNanos;
  }

  /** The recent peak, in events a nanosecond. */
  double peakPerNano(long nowNanos) {
    age(nowNanos);
    return peakCount / windowNanos;
  }

  /** The recent peak less one standard deviation of its count, in events a nanosecond. */
  double cautiousPeakPerNano(long nowNanos) {
    age(nowNanos);
    return Math.max(0, peakCount - Math.sqrt(peakCount)) / windowNanos;
  }

  /** Goes on from a rate and a peak that were counted elsewhere, where they are higher. */
  void begin(double perNano, double peakPerNano, long nowNanos) {
    age(nowNanos);
    count = Math.max(count, perNano * windowNanos);
    peakCount = Math.max(Math.max(peakCount, count), peakPerNano * windowNanos);
  }

  private void age(long nowNanos) {
    double passedWindows = (nowNanos - agedAtNanos) / windowNanos;
    count *= Math.exp(-passedWindows);
    peakCount = Math.max(count, peakCount * Math.exp(-passedWindows / PEAK_WINDOWS));
    agedAtNanos = nowNanos;
  }
}
