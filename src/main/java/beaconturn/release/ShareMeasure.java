package beaconturn.release;

import java.util.Locale;
import java.util.Optional;
import java.util.function.ToLongFunction;

/**
 * A share of events that is compared between a changed instance and its peers. A difference counts
 * if chance would hardly make it.
 *
 * @param name what the share is of, in words; empty for failed answers, which each verdict tells
 * @param part the events that are counted
 * @param total all events among which they are counted
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
   * Whether the share of the changed instance is too high.
   *
   * @param allowedDifference by how much it may be higher than that of the peers
   * @param minEvents events that either side needs to be compared
   * @param standardErrors how many of them the difference must exceed to be certain
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
    double error = standardError(pooledShare, changedTotal, peersTotal);
    return Optional.of(
        new Regression(
            description(changedShare, changedTotal, peersShare, peersTotal),
            changedShare - peersShare > standardErrors * error));
  }

  /** Standard error of the difference of two shares, with the share pooled over both. */
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
