package beaconturn.release;

import java.util.Locale;
import java.util.Optional;

/**
 * A mean that is compared between a changed instance and its peers. Each reading is itself a mean,
 * so any difference beyond the bounds counts once there are enough readings.
 *
 * @param name unit and name of the mean in descriptions
 * @param sum metric with the sum of the values
 * @param count metric with the number of values
 * @param divisor converts the mean to the unit of comparison and description
 * @param format format of a value in descriptions
 */
record MeanMeasure(
    String name, InstanceMetric sum, InstanceMetric count, double divisor, String format) {
  private static final double MILLION = 1e6;
  private static final String INTEGER_FORMAT = "%.0f";
  private static final String FRACTION_FORMAT = "%.3f";
  static final MeanMeasure AVOIDED_SERVERS =
      new MeanMeasure(
          "of the cache servers avoided",
          InstanceMetric.AVOIDED_MILLIONTHS,
          InstanceMetric.READINGS,
          MILLION,
          FRACTION_FORMAT);
  static final MeanMeasure MEMORY =
      new MeanMeasure(
          "kB of memory", InstanceMetric.MEMORY_KB, InstanceMetric.READINGS, 1, INTEGER_FORMAT);
  static final MeanMeasure HIT_TIME =
      new MeanMeasure(
          "us for a hit", InstanceMetric.HIT_MICROS, InstanceMetric.HITS, 1, INTEGER_FORMAT);

  /**
   * Returns the regression if the mean of the changed instance exceeds that of the peers by more
   * than is allowed.
   *
   * @param allowedDifference allowed absolute excess, in the unit of comparison
   * @param allowedRatio allowed excess relative to the mean of the peers
   */
  Optional<Regression> compare(
      ComparedSamples samples, double allowedDifference, double allowedRatio) {
    InstanceSample changed = samples.changed();
    InstanceSample peers = samples.peers();
    boolean noValues = changed.valueOf(count) == 0 || peers.valueOf(count) == 0;
    if (noValues || samples.hasFewReadings()) {
      return Optional.empty();
    }
    double changedMean = changed.ratio(sum, changed.valueOf(count)) / divisor;
    double peersMean = peers.ratio(sum, peers.valueOf(count)) / divisor;
    boolean comparable = peersMean + allowedDifference > 0;
    if (!comparable || changedMean <= peersMean * (1 + allowedRatio) + allowedDifference) {
      return Optional.empty();
    }
    String description =
        String.format(Locale.ROOT, "; " + format + " %s, " + format, changedMean, name, peersMean);
    return Optional.of(new Regression(description, true));
  }
}
