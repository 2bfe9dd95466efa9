package beaconturn.zones;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

/** How much of a zone's keys may move at once, and how often. For the planner's thread. */
final class StepLimits {
  /** Weight of one step of a return. */
  static final int RETURN_STEP_WEIGHT = ZoneAllocation.TOTAL_WEIGHT / 4;

  /** Weight from which a move counts as large; of large moves there is one at a time. */
  private static final int LARGE_MOVE_WEIGHT = 200;

  /** Weight that may always move at once, however few fetches a move may bring. */
  private static final int MIN_LIMIT_WEIGHT = RETURN_STEP_WEIGHT / 2;

  private static final long NEVER_NANOS = Long.MIN_VALUE / 2;

  private final ZoneTopology topology;
  private final ZoneTraffic traffic;
  private final long intervalNanos;
  private final SortedMap<String, Long> steppedAtNanos = new TreeMap<>();
  private long largeMoveAtNanos = NEVER_NANOS;

  StepLimits(ZoneTopology topology, ZoneTraffic traffic, long intervalNanos) {
    this.topology = topology;
    this.traffic = traffic;
    this.intervalNanos = intervalNanos;
  }

  /** Whether the last step of a zone is long enough ago for another step of its return. */
  boolean allowsStep(String home, long nowNanos) {
    return nowNanos - steppedAtNanos.getOrDefault(home, NEVER_NANOS) >= intervalNanos;
  }

  void noteStep(String home, long nowNanos) {
    steppedAtNanos.put(home, nowNanos);
  }

  static boolean isLarge(int movedWeight) {
    return movedWeight >= LARGE_MOVE_WEIGHT;
  }

  boolean allowsLargeMove(PlanDraft draft) {
    return !draft.hasLargeMove() && draft.nowNanos() - largeMoveAtNanos >= intervalNanos;
  }

  void noteLargeMove(long nowNanos) {
    largeMoveAtNanos = nowNanos;
  }

  /** The allocation as far on the way from one to another as may be gone at once. */
  ZoneAllocation limited(String home, ZoneAllocation from, ZoneAllocation to) {
    int moved = to.weightMovedFrom(from);
    double wanted = Math.max(1, traffic.requestsPerSecond(home));
    int limit =
        (int)
            Math.max(
                MIN_LIMIT_WEIGHT,
                ZoneAllocation.TOTAL_WEIGHT * topology.fetchesPerSecond() / wanted);
    return moved > limit ? between(from, to, limit / (double) moved) : to;
  }

  private static ZoneAllocation between(ZoneAllocation from, ZoneAllocation to, double share) {
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
