package beaconturn.zones;

import java.util.SortedMap;
import java.util.TreeMap;

/**
 * Decides on the state of a zone after a step, and how often it has flapped. For the planner's
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

  /** The state after a step; {@code evacuated} where its keys are to be served elsewhere. */
  ZoneState after(ZoneState before, String home, ZoneAllocation step, boolean evacuated) {
    if (evacuated) {
      boolean linkOnly = evidence.healthOf(home) == ZoneHealth.LINK;
      return linkOnly ? ZoneState.SPLIT : ZoneState.FAILED_OVER;
    }
    if (step.weightOf(home) >= HomeWeightRule.maxHomeWeight(topology, home)) {
      return ZoneState.NEAR;
    }
    boolean onlyTried = step.weightOf(home) <= ZoneAllocation.NEAR_TRIAL_WEIGHT;
    if (ZoneState.isAway(before) && onlyTried) {
      // Little is seen of a zone that is only tried: that it is not found bad brings nothing back.
      return before;
    }
    boolean returning = ZoneState.isAway(before) || before == ZoneState.RETURNING;
    return returning ? ZoneState.RETURNING : ZoneState.SPILLING;
  }

  /** The count of a zone's flaps of late, as its keys go elsewhere again. */
  int flapCountAfterLeaving(String home, int flapCountBefore, long nowNanos) {
    boolean longNear =
        nearSinceNanos.containsKey(home)
            && nowNanos - nearSinceNanos.get(home) >= timing.maxRecoveryNanos();
    return longNear ? 0 : flapCountBefore + 1;
  }

  void noteState(String home, ZoneState state, long nowNanos) {
    if (state == ZoneState.NEAR) {
      nearSinceNanos.putIfAbsent(home, nowNanos);
    } else {
      nearSinceNanos.remove(home);
    }
  }
}
