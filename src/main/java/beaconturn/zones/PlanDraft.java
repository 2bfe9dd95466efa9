package beaconturn.zones;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;

/** A plan in the making, from the plan at hand. For the planner's thread. */
final class PlanDraft {
  /**
   * The count of a zone whose keys never went elsewhere; it has no entry among the counts of flaps.
   */
  private static final int NEVER_LEFT = -1;

  private final ZonePlan base;
  private final Collection<ZoneOverride> overrides;
  private final long nowNanos;
  private final SortedMap<String, ZoneAllocation> allocations;
  private final SortedMap<String, ZoneState> states;
  private final SortedMap<String, Integer> flapCounts;
  private final List<String> reasons = new ArrayList<>();
  private boolean hasLargeMove;
  private String waitReason = "";

  PlanDraft(ZonePlan base, Collection<ZoneOverride> overrides, long nowNanos) {
    this.base = base;
    this.overrides = overrides;
    this.nowNanos = nowNanos;
    this.allocations = new TreeMap<>(base.allocations());
    this.states = new TreeMap<>(base.states());
    this.flapCounts = new TreeMap<>(base.flapCounts());
  }

  /** The plan at hand. */
  ZonePlan base() {
    return base;
  }

  long nowNanos() {
    return nowNanos;
  }

  /** The override of a zone, or null. */
  ZoneOverride overrideOf(String zone) {
    return overrides.stream().filter(o -> o.zone().equals(zone)).findFirst().orElse(null);
  }

  boolean isDrained(String zone) {
    return overrides.stream()
        .anyMatch(o -> o.zone().equals(zone) && o.kind() == ZoneOverrideKind.DRAIN);
  }

  ZoneState stateOf(String zone) {
    return states.getOrDefault(zone, ZoneState.NEAR);
  }

  int flapCountOf(String zone) {
    return flapCounts.getOrDefault(zone, 0);
  }

  int flapCountBeforeLeaving(String zone) {
    return flapCounts.getOrDefault(zone, NEVER_LEFT);
  }

  /**
   * The weight that a zone may send to another: routers on the plan at hand still send by its
   * allocations.
   */
  int largestWeight(String home, String zone) {
    int now = base.allocationOf(home).weightOf(zone);
    return Math.max(now, allocations.get(home).weightOf(zone));
  }

  void putAllocation(String home, ZoneAllocation allocation) {
    allocations.put(home, allocation);
  }

  void putState(String home, ZoneState state) {
    states.put(home, state);
  }

  void putFlapCount(String home, int count) {
    flapCounts.put(home, count);
  }

  void addReason(String reason) {
    reasons.add(reason);
  }

  boolean hasLargeMove() {
    return hasLargeMove;
  }

  void noteLargeMove() {
    hasLargeMove = true;
  }

  /** What the last decision had to wait for, or empty. */
  String waitReason() {
    return waitReason;
  }

  void waitFor(String reason) {
    waitReason = reason;
  }

  boolean isUnchanged() {
    return allocations.equals(base.allocations()) && states.equals(base.states());
  }

  ZonePlan toPlan(String leader) {
    return new ZonePlan(
        base.number() + 1, allocations, states, flapCounts, String.join("; ", reasons), leader);
  }
}
