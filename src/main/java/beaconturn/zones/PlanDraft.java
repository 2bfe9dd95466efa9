package beaconturn.zones;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * A mutable draft of the next plan, based on the plan in force. Confined to the planner's thread.
 */
final class PlanDraft {
  /** Flap count of a zone that never failed over; such a zone has no entry in the flap counts. */
  private static final int NEVER_FAILED_OVER = -1;

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

  /** Returns the plan in force. */
  ZonePlan base() {
    return base;
  }

  long nowNanos() {
    return nowNanos;
  }

  /** Returns the operator override of a zone, or null. */
  ZoneOverride overrideOf(String zone) {
    return overrides.stream()
        .filter(override -> override.zone().equals(zone))
        .findFirst()
        .orElse(null);
  }

  boolean isDrained(String zone) {
    return overrides.stream()
        .anyMatch(
            override -> override.zone().equals(zone) && override.kind() == ZoneOverrideKind.DRAIN);
  }

  ZoneState stateOf(String zone) {
    return states.getOrDefault(zone, ZoneState.NEAR);
  }

  int flapCountOf(String zone) {
    return flapCounts.getOrDefault(zone, 0);
  }

  int flapCountBeforeFailover(String zone) {
    return flapCounts.getOrDefault(zone, NEVER_FAILED_OVER);
  }

  /**
   * Returns the larger of the base plan's and the draft's weight from a home zone to another zone,
   * as routers may still act on the base plan.
   */
  int maxWeight(String home, String zone) {
    int baseWeight = base.allocationOf(home).weightOf(zone);
    return Math.max(baseWeight, allocations.get(home).weightOf(zone));
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

  void recordLargeMove() {
    hasLargeMove = true;
  }

  /** Returns why the last decision was deferred; empty if the decision was not deferred. */
  String waitReason() {
    return waitReason;
  }

  void setWaitReason(String reason) {
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
