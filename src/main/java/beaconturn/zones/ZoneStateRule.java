package beaconturn.zones;

import java.util.SortedMap;
import java.util.TreeMap;

/**
 * Decides on the state of a zone after a step, and counts its flaps. Confined to the planner's
 * thread.
 */
final class ZoneStateRule {
  private final ZoneTopology topology;
  private final EvidenceAggregator evidence;
  private final FailoverTiming timing;
  private final SortedMap<String, Long> nearSinceNanos = new TreeMap<>();

  ZoneStateRule(ZoneTopology topology, EvidenceAggregator evidence, FailoverTiming timing) {
    this.topology = topology;
    this.evidence = evidence;
    this.timing = timing;
  }

  /**
   * Returns the state after a step; {@code evacuated} if the keys are to be served by other zones.
   */
  ZoneState after(ZoneState before, String home, ZoneAllocation step, boolean evacuated) {
    if (evacuated) {
      boolean linkOnly = evidence.healthOf(home) == ZoneHealth.LINK;
      return linkOnly ? ZoneState.SPLIT : ZoneState.FAILED_OVER;
    }
    if (step.weightOf(home) >= HomeWeightRule.maxHomeWeight(topology, home)) {
      return ZoneState.NEAR;
    }
    boolean onlyTrialTraffic = step.weightOf(home) <= ZoneAllocation.HOME_TRIAL_WEIGHT;
    if (ZoneState.isServedElsewhere(before) && onlyTrialTraffic) {
      // Trial traffic is too little evidence: a zone that is not seen as unhealthy has not
      // recovered yet.
      return before;
    }
    boolean returning = ZoneState.isServedElsewhere(before) || before == ZoneState.RETURNING;
    return returning ? ZoneState.RETURNING : ZoneState.SPILLING;
  }

  /** Returns the recent flaps of a zone whose keys are moved to other zones again. */
  int flapCountAfterFailover(String home, int flapCountBefore, long nowNanos) {
    boolean nearLongEnough =
        nearSinceNanos.containsKey(home)
            && nowNanos - nearSinceNanos.get(home) >= timing.maxRecoveryNanos();
    return nearLongEnough ? 0 : flapCountBefore + 1;
  }

  void recordState(String home, ZoneState state, long nowNanos) {
    if (state == ZoneState.NEAR) {
      nearSinceNanos.putIfAbsent(home, nowNanos);
    } else {
      nearSinceNanos.remove(home);
    }
  }
}
