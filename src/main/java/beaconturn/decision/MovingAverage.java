package beaconturn.decision;

/** Exponentially weighted mean and mean deviation of samples. */
final class MovingAverage {
  /** The usual weight of the newest sample, a ratio: about ten samples make an average. */
  static final double DEFAULT_SAMPLE_WEIGHT = 0.1;

  private final double sampleWeight;
  private double mean;
  private double deviation;
  private boolean hasSamples;

  /** Makes an average without samples; {@code sampleWeight} is the weight of the newest sample. */
  MovingAverage(double sampleWeight) {
    this.sampleWeight = sampleWeight;
  }

  /** Begins with a mean that was measured elsewhere; 0 means none, and own samples come first. */
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

  /** The mean, in the unit of the samples; 0 without samples. */
  double mean() {
    return mean;
  }

  /** The mean distance of samples from the mean; half of the sample after the first one. */
  double deviation() {
    return deviation;
  }

  boolean hasSamples() {
    return hasSamples;
  }
}
