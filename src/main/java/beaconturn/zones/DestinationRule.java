package beaconturn.zones;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Selects the zones that serve the keys which a home zone does not serve itself. Confined to the
 * planner's thread.
 */
final class DestinationRule {
  /**
   * Share of failed attempts above which a zone counts as degraded, even if it is not unhealthy.
   */
  private static final double DEGRADED_FAILURE_SHARE = 0.25;

  /** Share of failed attempts in the home zone from which keys move even to a slow zone. */
  private static final double NEAR_TOTAL_FAILURE_SHARE = 0.9;

  private final ZoneTopology topology;
  private final EvidenceAggregator evidence;
  private final ZoneTraffic traffic;
  private final ZoneCapacity capacity;
  private final ZoneOutages outages;

  DestinationRule(
      ZoneTopology topology,
      EvidenceAggregator evidence,
      ZoneTraffic traffic,
      ZoneCapacity capacity,
      ZoneOutages outages) {
    this.topology = topology;
    this.evidence = evidence;
    this.traffic = traffic;
    this.capacity = capacity;
    this.outages = outages;
  }

  /**
   * Returns an allocation with the given weight at the home zone. The rest is spread over the other
   * zones, nearest first, up to their spare capacity; weight that exceeds their capacity is
   * rejected.
   */
  ZoneAllocation allocate(PlanDraft draft, String home, int homeWeight) {
    Map<String, Integer> weights = new LinkedHashMap<>();
    weights.put(home, homeWeight);
    int remaining = ZoneAllocation.TOTAL_WEIGHT - homeWeight;
    for (String other : topology.othersByDistance(home)) {
      if (remaining <= 0) {
        break;
      }
      int weight = weightFor(draft, home, other, remaining);
      if (weight > 0) {
        weights.put(other, weight);
        remaining -= weight;
      }
    }
    if (weights.size() == 1 && !topology.othersByDistance(home).isEmpty()) {
      // No zone accepts any of the keys: the allocation stays, and the home zone rejects the
      // excess.
      return draft.base().allocationOf(home);
    }
    return new ZoneAllocation(weights);
  }

  private int weightFor(PlanDraft draft, String home, String other, int remaining) {
    if (isExcluded(draft, home, other)) {
      return 0;
    }
    if (remaining <= ZoneAllocation.TRIAL_WEIGHT) {
      return remaining;
    }
    double demandPerSecond = Math.max(1, traffic.requestsPerSecond(home));
    double sparePerSecond = capacity.sparePerSecond(draft, home, other);
    return Math.min(
        remaining,
        (int) Math.max(0, ZoneAllocation.TOTAL_WEIGHT * sparePerSecond / demandPerSecond));
  }

  /**
   * Returns whether the target allocation is too similar to the current one to justify a new plan:
   * it differs only by trial weights, or by no more than the noise of measured request rates.
   */
  boolean isInsignificantChange(PlanDraft draft, String home, ZoneAllocation target) {
    ZoneAllocation current = draft.base().allocationOf(home);
    return target.weightMovedFrom(current) <= ZoneAllocation.TRIAL_WEIGHT
        || topology.othersByDistance(home).stream()
            .allMatch(other -> differsWithinNoise(draft, home, other, target));
  }

  private boolean differsWithinNoise(
      PlanDraft draft, String home, String other, ZoneAllocation target) {
    int currentWeight = draft.base().allocationOf(home).weightOf(other);
    double noise =
        Math.min(
            topology.serverRequestsPerSecond() / 2,
            traffic.noiseMargin(traffic.requestsPerSecond(other)));
    double movedPerSecond =
        Math.abs(target.weightOf(other) - currentWeight)
            * Math.max(1, traffic.requestsPerSecond(home))
            / ZoneAllocation.TOTAL_WEIGHT;
    return movedPerSecond <= noise && !(currentWeight > 0 && isExcluded(draft, home, other));
  }

  /** Returns whether the other zone must not receive keys of the home zone. */
  private boolean isExcluded(PlanDraft draft, String home, String other) {
    return outages.isUnusable(other)
        || evidence.isUnhealthyFrom(home, other)
        || offersNoImprovement(draft, home, other)
        || draft.isDrained(other);
  }

  /**
   * Returns whether moving keys to the other zone gains nothing: that zone is degraded to a similar
   * extent, or it is slow. Under a shared cause some zones fail slightly more than half of their
   * attempts and others slightly less, or become slow before they fail. Slowness is ignored in a
   * zone that already receives keys of the home zone, because they may have caused the slowness.
   */
  private boolean offersNoImprovement(PlanDraft draft, String home, String other) {
    double destinationFailureShare = evidence.failureShare(other);
    double homeFailureShare = evidence.failureShare(home);
    boolean slowWithoutFailover =
        draft.base().allocationOf(home).weightOf(other) <= ZoneAllocation.TRIAL_WEIGHT
            && homeFailureShare < NEAR_TOTAL_FAILURE_SHARE
            && traffic.isSlow(other);
    boolean similarlyDegraded =
        destinationFailureShare > DEGRADED_FAILURE_SHARE
            && 2 * destinationFailureShare > homeFailureShare;
    return similarlyDegraded || (homeFailureShare > DEGRADED_FAILURE_SHARE && slowWithoutFailover);
  }
}
