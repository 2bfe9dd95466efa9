package beaconturn.release;

import java.util.Locale;
import java.util.Optional;
import java.util.function.ToLongFunction;

/**
 * A share of events that is compared between a changed instance and its peers by the standard error
 * of the difference.
 *
 * @param name name of the events in descriptions; empty for failed responses, whose figures are
 *     part of each explanation
 * @param part metric that counts the events
 * @param total number of all events of a sample
 */
record ShareMeasure(String name, InstanceMetric part, ToLongFunction<InstanceSample> total) {
  static final ShareMeasure FAILED =
      new ShareMeasure("", InstanceMetric.FAILED, InstanceSample::responses);
  static final ShareMeasure LATE =
      new ShareMeasure(
          "late", InstanceMetric.LATE, sample -> sample.valueOf(InstanceMetric.SERVED));
  static final ShareMeasure MISSED =
      new ShareMeasure(
          "missed",
          InstanceMetric.MISSES,
          sample -> sample.valueOf(InstanceMetric.HITS) + sample.valueOf(InstanceMetric.MISSES));

  /**
   * Returns the regression if the share of the changed instance exceeds that of the peers by more
   * than the allowed difference.
   *
   * @param minEvents minimum number of events on each side for a comparison
   * @param standardErrors number of standard errors above which the difference is significant
   */
  Optional<Regression> compare(
      ComparedSamples samples, double allowedDifference, long minEvents, double standardErrors) {
    InstanceSample changed = samples.changed();
    InstanceSample peers = samples.peers();
    long changedTotal = total.applyAsLong(changed);
    long peersTotal = total.applyAsLong(peers);
    double changedShare = changed.ratio(part, changedTotal);
    double peersShare = peers.ratio(part, peersTotal);
    boolean tooFew = changedTotal < minEvents || (samples.hasPeers() && peersTotal < minEvents);
    if (changedShare <= peersShare + allowedDifference || tooFew) {
      return Optional.empty();
    }
    double pooledShare =
        (changed.valueOf(part) + peers.valueOf(part)) / (double) (changedTotal + peersTotal);
    double standardError = standardError(pooledShare, changedTotal, peersTotal);
    return Optional.of(
        new Regression(
            description(changedShare, changedTotal, peersShare, peersTotal),
            changedShare - peersShare > standardErrors * standardError));
  }

  /** Returns the standard error of the difference of two shares under a pooled share. */
  private static double standardError(double pooledShare, long changedTotal, long peersTotal) {
    double peersTerm = peersTotal == 0 ? 0 : 1.0 / peersTotal;
    return Math.sqrt(pooledShare * (1 - pooledShare) * (1.0 / changedTotal + peersTerm));
  }

  private String description(
      double changedShare, long changedTotal, double peersShare, long peersTotal) {
    if (name.isEmpty()) {
      return "";
    }
    return String.format(
        Locale.ROOT,
        "; %.3f of %d %s, %.3f of %d",
        changedShare,
        changedTotal,
        name,
        peersShare,
        peersTotal);
  }
}
