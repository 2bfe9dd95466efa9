package beaconturn.decision;

/** Moving average of latencies, each divided by what it is measured against. */
final class LatencyRatio {
  /** A larger ratio counts as this one, so that one outlier does not rule the average. */
  private static final double MAX_RATIO = 2;

  private final double sampleWeight;
  private double value;
  private int samples;

  /** Makes an average without samples; {@code sampleWeight} is the weight of the newest sample. */
  LatencyRatio(double sampleWeight) {
    this.sampleWeight = sampleWeight;
  }

  /** Adds a sample; the first few count evenly. */
  void add(double ratio) {
    samples++;
    value += Math.max(sampleWeight, 1.0 / samples) * (Math.min(MAX_RATIO, ratio) - value);
  }

  /** The average; 0 without samples. */
  double value() {
    return value;
  }
}
