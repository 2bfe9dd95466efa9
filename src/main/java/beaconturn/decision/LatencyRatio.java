package beaconturn.decision;

/** Moving average of latencies, each divided by a reference latency. */
final class LatencyRatio {
  /**
   * Larger ratios are clamped to this value, so that a single outlier does not dominate the
   * average.
   */
  private static final double MAX_RATIO = 2;

  private final double sampleWeight;
  private double value;
  private int samples;

  /**
   * Creates an average without samples; {@code sampleWeight} is the weight of the newest sample.
   */
  LatencyRatio(double sampleWeight) {
    this.sampleWeight = sampleWeight;
  }

  /** Adds a sample; the first few samples have equal weights. */
  void add(double ratio) {
    samples++;
    value += Math.max(sampleWeight, 1.0 / samples) * (Math.min(MAX_RATIO, ratio) - value);
  }

  /** Returns the average; 0 without samples. */
  double value() {
    return value;
  }
}
