package beaconturn.release;

import java.util.Locale;
import java.util.Optional;

/**
 * A mean that is compared between a changed instance and its peers. Each reading is a mean already,
 * so that a difference counts once there are enough readings.
 *
 * @param name what the mean is of, in words
 * @param sum sum of the values
 * @param count how many values the sum is over
 * @param divisor turns the mean into the unit in which it is compared and told
 * @param format of one value
 */
record MeanMeasure(
    String name, InstanceMetric sum, InstanceMetric count, double divisor, String format) {
  private static final double MILLION = 1e6;
  private static final String WHOLE = "%.0f";
  private static final String FRACTION = "%.3f";
  static final MeanMeasure AVOIDED_SERVERS =
      new MeanMeasure(
          "of the cache servers avoided",
          InstanceMetric.AVOIDED_MILLIONTHS,
          InstanceMetric.READINGS,
          MILLION,
          FRACTION);
  static final MeanMeasure MEMORY =
      new MeanMeasure(
          "kB of memory", InstanceMetric.MEMORY_KB, InstanceMetric.READINGS, 1, WHOLE);
  static final MeanMeasure HIT_TIME =
      new MeanMeasure("us for a hit", InstanceMetric.HIT_MICROS, InstanceMetric.HITS, 1, WHOLE);

  /**
   * Whether the mean of the changed instance is too high.
   *
   * @param allowedDifference by how much it may be higher than that of the peers
   * @param allowedRatio by which part of the peers' mean it may be higher
   */
  Optional<Regression> compare(
      ComparedSamples samples, double allowedDifference, double allowedRatio) {
    InstanceSample changed = samples.changed();
    InstanceSample peers = samples.peers();
    boolean unknown = changed.valueOf(count) == 0 || peers.valueOf(count) == 0;
    if (unknown || samples.hasFewReadings()) {
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
