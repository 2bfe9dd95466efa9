package beaconturn.zones;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * Limits how much of a zone's keys moves at once, and how often. Confined to the planner's thread.
 */
final class StepLimits {
  /** Weight of one step of a return. */
  static final int RETURN_STEP_WEIGHT = ZoneAllocation.TOTAL_WEIGHT / 4;

  /** Weight from which a move counts as large; only one large move is made per interval. */
  private static final int LARGE_MOVE_WEIGHT = 200;

  /** Weight that may always move at once, regardless of the fetch limit. */
  private static final int MIN_LIMIT_WEIGHT = RETURN_STEP_WEIGHT / 2;

  private static final long NEVER_NANOS = Long.MIN_VALUE / 2;

  private final ZoneTopology topology;
  private final ZoneTraffic traffic;
  private final long intervalNanos;
  private final SortedMap<String, Long> lastStepNanos = new TreeMap<>();
  private long lastLargeMoveNanos = NEVER_NANOS;

  StepLimits(ZoneTopology topology, ZoneTraffic traffic, long intervalNanos) {
    this.topology = topology;
    this.traffic = traffic;
    this.intervalNanos = intervalNanos;
  }

  /** Returns whether the step interval of a zone has passed since its last step. */
  boolean allowsStep(String home, long nowNanos) {
    return nowNanos - lastStepNanos.getOrDefault(home, NEVER_NANOS) >= intervalNanos;
  }

  void recordStep(String home, long nowNanos) {
    lastStepNanos.put(home, nowNanos);
  }

  static boolean isLarge(int movedWeight) {
    return movedWeight >= LARGE_MOVE_WEIGHT;
  }

  boolean allowsLargeMove(PlanDraft draft) {
    return !draft.hasLargeMove() && draft.nowNanos() - lastLargeMoveNanos >= intervalNanos;
  }

  void recordLargeMove(long nowNanos) {
    lastLargeMoveNanos = nowNanos;
  }

  /** Returns the target, or an allocation between both if the move would exceed the limit. */
  ZoneAllocation limitMove(String home, ZoneAllocation from, ZoneAllocation to) {
    int moved = to.weightMovedFrom(from);
    double demandPerSecond = Math.max(1, traffic.requestsPerSecond(home));
    int limit =
        (int)
            Math.max(
                MIN_LIMIT_WEIGHT,
                ZoneAllocation.TOTAL_WEIGHT * topology.fetchesPerSecond() / demandPerSecond);
    return moved > limit ? interpolate(from, to, limit / (double) moved) : to;
  }

  private static ZoneAllocation interpolate(ZoneAllocation from, ZoneAllocation to, double share) {
    List<String> zones = new ArrayList<>(to.zones());
    from.zones().stream().filter(zone -> !zones.contains(zone)).forEach(zones::add);
    Map<String, Integer> weights = new LinkedHashMap<>();
    for (String zone : zones) {
      int difference = to.weightOf(zone) - from.weightOf(zone);
      int weight = from.weightOf(zone) + (int) Math.round(share * difference);
      if (weight > 0) {
        weights.put(zone, weight);
      }
    }
    return new ZoneAllocation(weights);
  }
}
