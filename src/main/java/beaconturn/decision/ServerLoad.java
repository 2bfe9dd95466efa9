package beaconturn.decision;

/** Attempts in flight, as a count and smoothed over time, as recommended for bounded loads. */
final class ServerLoad {
  private int inFlight;
  private double smoothedInFlight;
  private long smoothedAtNanos;

  /** Changes the count after bringing the smoothed load up to date. */
  void change(int delta, long nowNanos, double smoothingNanos) {
    smoothed(nowNanos, smoothingNanos);
    inFlight += delta;
  }

  int inFlight() {
    return inFlight;
  }

  /** Brings the smoothed load up to date and returns it. */
  double smoothed(long nowNanos, double smoothingNanos) {
    double elapsedNanos = nowNanos - smoothedAtNanos;
    smoothedInFlight +=
        (inFlight - smoothedInFlight) * elapsedNanos / (elapsedNanos + smoothingNanos);
    smoothedAtNanos = nowNanos;
    return smoothedInFlight;
  }
}
