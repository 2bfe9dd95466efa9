package beaconturn.zones;

import java.util.SortedMap;
import java.util.TreeMap;

/** Decides how many of its keys a zone is to serve itself. For the planner's thread. */
final class HomeWeightRule {
  /** A spill ends at once where no more than this part of the capacity is wanted. */
  private static final double ENDS_SPILL_LOAD = 0.8;

  private final ZoneTopology topology;
  private final EvidenceAggregator evidence;
  private final ZoneTraffic traffic;
  private final ZoneCapacity capacity;
  private final ZoneOutages outages;
  private final FailoverTiming timing;

  /** Since when clearly more is wanted than a zone carries. */
  private final SortedMap<String, Long> overloadedSinceNanos = new TreeMap<>();

  /** Since when clearly no more is wanted than a zone carries. */
  private final SortedMap<String, Long> sufficientSinceNanos = new TreeMap<>();

  HomeWeightRule(
      ZoneTopology topology,
      EvidenceAggregator evidence,
      ZoneTraffic traffic,
      ZoneCapacity capacity,
      ZoneOutages outages,
      FailoverTiming timing) {
    this.topology = topology;
    this.evidence = evidence;
    this.traffic = traffic;
    this.capacity = capacity;
    this.outages = outages;
    this.timing = timing;
  }

  /**
   * The weight of a zone's own part; {@code evacuated} where its keys are to be served elsewhere.
   */
  int wantedWeight(PlanDraft draft, String home, boolean evacuated) {
    if (evacuated) {
      return ZoneAllocation.NEAR_TRIAL_WEIGHT;
    }
    int currentWeight = draft.base().allocationOf(home).weightOf(home);
    if (outages.isBad(home)) {
      // Bad, but not for long enough yet to move its keys.
      return currentWeight;
    }
    double wanted = traffic.requestsPerSecond(home);
    double carried = capacity.carriedPerSecond(home, draft.nowNanos());
    boolean unknown = carried <= 0 && evidence.healthOf(home) != ZoneHealth.GOOD;
    if (wanted <= 0 || unknown) {
      return currentWeight;
    }
    noteLoad(home, wanted, carried, draft.nowNanos());
    return byLoad(draft, home, wanted, carried);
  }

  private void noteLoad(String home, double wanted, double carried, long nowNanos) {
    double chance = traffic.chanceDifference(wanted);
    note(overloadedSinceNanos, home, wanted - chance > carried, nowNanos);
    note(sufficientSinceNanos, home, wanted + chance <= carried, nowNanos);
  }

  private static void note(
      SortedMap<String, Long> sinceNanos, String zone, boolean holds, long nowNanos) {
    if (holds) {
      sinceNanos.putIfAbsent(zone, nowNanos);
    } else {
      sinceNanos.remove(zone);
    }
  }

  private int byLoad(PlanDraft draft, String home, double wanted, double carried) {
    int currentWeight = draft.base().allocationOf(home).weightOf(home);
    int maxWeight = maxHomeWeight(topology, home);
    int carriedWeight =
        (int)
            Math.max(
                ZoneAllocation.NEAR_TRIAL_WEIGHT,
                Math.min(maxWeight, ZoneAllocation.TOTAL_WEIGHT * carried / wanted));
    ZoneState state = draft.stateOf(home);
    if (state == ZoneState.NEAR) {
      // A spill begins where for a while more is wanted than is carried, and ends well below that.
      return isOverloaded(home, draft.nowNanos()) ? carriedWeight : currentWeight;
    }
    int difference = Math.abs(carriedWeight - currentWeight);
    boolean little = difference < ZoneAllocation.NEAR_TRIAL_WEIGHT && carriedWeight < maxWeight;
    boolean keepsSpilling =
        state == ZoneState.SPILLING
            && carriedWeight > currentWeight
            && !isSufficient(home, wanted, carried, draft.nowNanos());
    return little || keepsSpilling ? currentWeight : carriedWeight;
  }

  private boolean isOverloaded(String home, long nowNanos) {
    long sinceNanos = overloadedSinceNanos.getOrDefault(home, nowNanos);
    return nowNanos - sinceNanos >= timing.confirmNanos();
  }

  private boolean isSufficient(String home, double wanted, double carried, long nowNanos) {
    long sinceNanos = sufficientSinceNanos.getOrDefault(home, nowNanos);
    return wanted <= ENDS_SPILL_LOAD * carried
        || nowNanos - sinceNanos >= timing.maxRecoveryNanos();
  }

  /** All keys of a zone, but for what is tried elsewhere. */
  static int maxHomeWeight(ZoneTopology topology, String home) {
    boolean alone = topology.othersByDistance(home).isEmpty();
    return alone
        ? ZoneAllocation.TOTAL_WEIGHT
        : ZoneAllocation.TOTAL_WEIGHT - ZoneAllocation.TRIAL_WEIGHT;
  }
}
