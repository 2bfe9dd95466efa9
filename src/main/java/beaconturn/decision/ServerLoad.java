package beaconturn.decision;

/**
 * Attempts in flight, as a count and smoothed over time, as the article on bounded loads advises.
 */
final class ServerLoad {
  private int inFlight;
  private double smoothedInFlight;
  private long smoothedAtNanos;

  /** Adds to the count; the smoothed load is brought up to now first. */
  void change(int delta, long nowNanos, double smoothingNanos) {
    smoothed(nowNanos, smoothingNanos);
    inFlight += delta;
  }

  int inFlight() {
    return inFlight;
  }

  /** Brings the smoothed load up to now and returns it. */
  double smoothed(long nowNanos, double smoothingNanos) {
    double elapsedNanos = nowNanos - smoothedAtNanos;
    smoothedInFlight +=
        (inFlight - smoothedInFlight) * elapsedNanos / (elapsedNanos + smoothingNanos);
    smoothedAtNanos = nowNanos;
    return smoothedInFlight;
  }
}
