package beaconturn.decision;

/** How slow answers are of late, as a part of their aim. */
final class LatencyRatio {
  /** Beyond twice the aim, slower is no worse; keeps one outlier from ruling the average. */
  private static final double MOST = 2;

  double now;
  private final double newest;
  private int samples;

  /** {@code newest} is the weight of the newest sample. */
  LatencyRatio(double newest) {
    this.newest = newest;
  }

  void add(double partOfAim) {
    samples++;
    now += Math.max(newest, 1.0 / samples) * (Math.min(MOST, partOfAim) - now);
  }
}
