package beaconturn.zones;

import java.util.SortedMap;
import java.util.TreeMap;

/** Decides which weight of its keys a zone serves itself. Confined to the planner's thread. */
final class HomeWeightRule {
  /** Utilization up to which a spill ends without waiting. */
  private static final double END_SPILL_LOAD = 0.8;

  private final ZoneTopology topology;
  private final EvidenceAggregator evidence;
  private final ZoneTraffic traffic;
  private final ZoneCapacity capacity;
  private final ZoneOutages outages;
  private final FailoverTiming timing;

  /** By zone, since when demand has exceeded capacity by more than the noise margin. */
  private final SortedMap<String, Long> overloadedSinceNanos = new TreeMap<>();

  /** By zone, since when capacity has covered demand including the noise margin. */
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
   * Returns the weight that a zone should serve itself.
   *
   * @param evacuated whether the keys of the zone are to be served elsewhere
   */
  int targetWeight(PlanDraft draft, String home, boolean evacuated) {
    if (evacuated) {
      return ZoneAllocation.HOME_TRIAL_WEIGHT;
    }
    int currentWeight = draft.base().allocationOf(home).weightOf(home);
    if (outages.isSuspected(home)) {
      // The outage is not confirmed yet.
      return currentWeight;
    }
    double demandPerSecond = traffic.requestsPerSecond(home);
    double capacityPerSecond = capacity.capacityPerSecond(home, draft.nowNanos());
    boolean unknown = capacityPerSecond <= 0 && evidence.healthOf(home) != ZoneHealth.GOOD;
    if (demandPerSecond <= 0 || unknown) {
      return currentWeight;
    }
    recordLoad(home, demandPerSecond, capacityPerSecond, draft.nowNanos());
    return weightByLoad(draft, home, demandPerSecond, capacityPerSecond);
  }

  private void recordLoad(
      String home, double demandPerSecond, double capacityPerSecond, long nowNanos) {
    double noiseMargin = traffic.noiseMargin(demandPerSecond);
    trackSince(
        overloadedSinceNanos, home, demandPerSecond - noiseMargin > capacityPerSecond, nowNanos);
    trackSince(
        sufficientSinceNanos, home, demandPerSecond + noiseMargin <= capacityPerSecond, nowNanos);
  }

  private static void trackSince(
      SortedMap<String, Long> sinceNanos, String zone, boolean holds, long nowNanos) {
    if (holds) {
      sinceNanos.putIfAbsent(zone, nowNanos);
    } else {
      sinceNanos.remove(zone);
    }
  }

  private int weightByLoad(
      PlanDraft draft, String home, double demandPerSecond, double capacityPerSecond) {
    int currentWeight = draft.base().allocationOf(home).weightOf(home);
    int maxWeight = maxHomeWeight(topology, home);
    int sustainableWeight =
        (int)
            Math.max(
                ZoneAllocation.HOME_TRIAL_WEIGHT,
                Math.min(
                    maxWeight, ZoneAllocation.TOTAL_WEIGHT * capacityPerSecond / demandPerSecond));
    ZoneState state = draft.stateOf(home);
    if (state == ZoneState.NEAR) {
      // Hysteresis: a spill starts after a confirmed overload and ends well below the capacity.
      return isOverloaded(home, draft.nowNanos()) ? sustainableWeight : currentWeight;
    }
    int difference = Math.abs(sustainableWeight - currentWeight);
    boolean insignificant =
        difference < ZoneAllocation.HOME_TRIAL_WEIGHT && sustainableWeight < maxWeight;
    boolean keepsSpilling =
        state == ZoneState.SPILLING
            && sustainableWeight > currentWeight
            && !isSufficient(home, demandPerSecond, capacityPerSecond, draft.nowNanos());
    return insignificant || keepsSpilling ? currentWeight : sustainableWeight;
  }

  private boolean isOverloaded(String home, long nowNanos) {
    long sinceNanos = overloadedSinceNanos.getOrDefault(home, nowNanos);
    return nowNanos - sinceNanos >= timing.confirmNanos();
  }

  private boolean isSufficient(
      String home, double demandPerSecond, double capacityPerSecond, long nowNanos) {
    long sinceNanos = sufficientSinceNanos.getOrDefault(home, nowNanos);
    return demandPerSecond <= END_SPILL_LOAD * capacityPerSecond
        || nowNanos - sinceNanos >= timing.maxRecoveryNanos();
  }

  /** Returns all keys of a zone except the trial weight sent to another zone. */
  static int maxHomeWeight(ZoneTopology topology, String home) {
    boolean alone = topology.othersByDistance(home).isEmpty();
    return alone
        ? ZoneAllocation.TOTAL_WEIGHT
        : ZoneAllocation.TOTAL_WEIGHT - ZoneAllocation.TRIAL_WEIGHT;
  }
}
