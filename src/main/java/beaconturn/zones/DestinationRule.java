package beaconturn.zones;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Decides which zones take the keys that a zone does not serve itself. For the planner's thread.
 */
final class DestinationRule {
  /** Share of bad attempts above which a zone suffers, whether or not it is found bad. */
  private static final double SUFFERING_BAD_SHARE = 0.25;

  /** Share of bad attempts from which keys leave a zone even for one that is slow. */
  private static final double NEARLY_ALL_BAD_SHARE = 0.9;

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
   * The allocation with that weight near and the rest at the nearest zones that have room; what
   * none has room for is rejected.
   */
  ZoneAllocation allocate(PlanDraft draft, String home, int nearWeight) {
    Map<String, Integer> weights = new LinkedHashMap<>();
    weights.put(home, nearWeight);
    int rest = ZoneAllocation.TOTAL_WEIGHT - nearWeight;
    for (String other : topology.othersByDistance(home)) {
      if (rest <= 0) {
        break;
      }
      int weight = weightFor(draft, home, other, rest);
      if (weight > 0) {
        weights.put(other, weight);
        rest -= weight;
      }
    }
    if (weights.size() == 1 && !topology.othersByDistance(home).isEmpty()) {
      // Nobody takes any of it: it stays where it is, and what cannot be served is rejected there.
      return draft.base().allocationOf(home);
    }
    return new ZoneAllocation(weights);
  }

  private int weightFor(PlanDraft draft, String home, String other, int rest) {
    if (isClosed(draft, home, other)) {
      return 0;
    }
    if (rest <= ZoneAllocation.TRIAL_WEIGHT) {
      return rest;
    }
    double wanted = Math.max(1, traffic.requestsPerSecond(home));
    double room = capacity.roomPerSecond(draft, home, other);
    return Math.min(rest, (int) Math.max(0, ZoneAllocation.TOTAL_WEIGHT * room / wanted));
  }

  /**
   * Whether the wanted allocation is about the one at hand, so that no plan is made for it: it
   * differs only in the zones that get trials, or by no more than measured rates differ by chance.
   */
  boolean isAboutTheSame(PlanDraft draft, String home, ZoneAllocation wanted) {
    ZoneAllocation current = draft.base().allocationOf(home);
    return wanted.weightMovedFrom(current) <= ZoneAllocation.TRIAL_WEIGHT
        || topology.othersByDistance(home).stream()
            .allMatch(other -> differsByChance(draft, home, other, wanted));
  }

  private boolean differsByChance(
      PlanDraft draft, String home, String other, ZoneAllocation wanted) {
    int currentWeight = draft.base().allocationOf(home).weightOf(other);
    double chance =
        Math.min(
            topology.serverRequestsPerSecond() / 2,
            traffic.chanceDifference(traffic.requestsPerSecond(other)));
    double moved =
        Math.abs(wanted.weightOf(other) - currentWeight)
            * Math.max(1, traffic.requestsPerSecond(home))
            / ZoneAllocation.TOTAL_WEIGHT;
    return moved <= chance && !(currentWeight > 0 && isClosed(draft, home, other));
  }

  /** Whether nothing of a zone's keys may go to another. */
  private boolean isClosed(PlanDraft draft, String home, String other) {
    return outages.isUnusable(other)
        || evidence.isBadFrom(home, other)
        || isNoBetter(draft, home, other)
        || draft.isDrained(other);
  }

  /**
   * Whether another zone is no better off than the home zone, so that keys gain nothing there: it
   * suffers as well and not clearly less, or it is slow by itself. Where a cause is shared, some
   * zones find just more than half of their attempts bad and others just less, or get slow before
   * they get bad. Slowness does not count at a zone to which keys have been sent already, as they
   * may be its cause.
   */
  private boolean isNoBetter(PlanDraft draft, String home, String other) {
    double there = evidence.badShare(other);
    double here = evidence.badShare(home);
    boolean slowByItself =
        draft.base().allocationOf(home).weightOf(other) <= ZoneAllocation.TRIAL_WEIGHT
            && here < NEARLY_ALL_BAD_SHARE
            && traffic.isSlow(other);
    boolean suffersAsWell = there > SUFFERING_BAD_SHARE && 2 * there > here;
    return suffersAsWell || (here > SUFFERING_BAD_SHARE && slowByItself);
  }
}
