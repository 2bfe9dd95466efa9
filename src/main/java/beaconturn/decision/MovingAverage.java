package beaconturn.decision;

/** Exponentially weighted mean and mean deviation of samples. */
final class MovingAverage {
  /** Default weight of the newest sample: an average spans about ten samples. */
  static final double DEFAULT_SAMPLE_WEIGHT = 0.1;

  private final double sampleWeight;
  private double mean;
  private double deviation;
  private boolean hasSamples;

  /**
   * Creates an average without samples; {@code sampleWeight} is the weight of the newest sample.
   */
  MovingAverage(double sampleWeight) {
    this.sampleWeight = sampleWeight;
  }

  /** Starts from a mean measured by another router unless samples exist; 0 means none. */
  void warmStart(double measuredMean) {
    if (!hasSamples && measuredMean > 0) {
      add(measuredMean);
    }
  }

  /** Adds a sample and returns the new mean. */
  double add(double sample) {
    if (hasSamples) {
      mean += sampleWeight * (sample - mean);
      deviation += sampleWeight * (Math.abs(sample - mean) - deviation);
    } else {
      mean = sample;
      deviation = sample / 2;
      hasSamples = true;
    }
    return mean;
  }

  /** Returns the mean, in the unit of the samples; 0 without samples. */
  double mean() {
    return mean;
  }

  /** Returns the mean absolute deviation; half of the sample after the first one. */
  double deviation() {
    return deviation;
  }

  boolean hasSamples() {
    return hasSamples;
  }
}
