package beaconturn.decision;

/** Rate of events over an exponentially decaying window, and its recent peak. */
final class EventRate {
  /** Number of windows over which the peak decays. */
  private static final double PEAK_DECAY_WINDOWS = 4;

  private final double windowNanos;
  private double count;
  private double peakCount;
  private long decayedAtNanos;

  /** Creates a rate of 0 over a window of the given length. */
  EventRate(double windowNanos) {
    this.windowNanos = Math.max(1, windowNanos);
  }

  /** Counts one event. */
  void count(long nowNanos) {
    decay(nowNanos);
    count++;
    peakCount = Math.max(peakCount, count);
  }

  /** Returns the rate, in events per nanosecond. */
  double perNano(long nowNanos) {
    decay(nowNanos);
    return count / windowNanos;
  }

  /** Returns the recent peak, in events per nanosecond. */
  double peakPerNano(long nowNanos) {
    decay(nowNanos);
    return peakCount / windowNanos;
  }

  /** Returns the recent peak less one standard deviation of its count, in events per nanosecond. */
  double conservativePeakPerNano(long nowNanos) {
    decay(nowNanos);
    return Math.max(0, peakCount - Math.sqrt(peakCount)) / windowNanos;
  }

  /** Starts from a rate and a peak counted by another router, where they are higher. */
  void warmStart(double perNano, double peakPerNano, long nowNanos) {
    decay(nowNanos);
    count = Math.max(count, perNano * windowNanos);
    peakCount = Math.max(Math.max(peakCount, count), peakPerNano * windowNanos);
  }

  private void decay(long nowNanos) {
    double elapsedWindows = (nowNanos - decayedAtNanos) / windowNanos;
    count *= StrictMath.exp(-elapsedWindows);
    peakCount = Math.max(count, peakCount * StrictMath.exp(-elapsedWindows / PEAK_DECAY_WINDOWS));
    decayedAtNanos = nowNanos;
  }
}
