package beaconturn.zones;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * Where the keys of all zones go, and why.
 *
 * @param number only grows
 * @param allocations by zone
 * @param states by zone
 * @param flapCounts how often a zone has gone and come back of late; kept so that another leader
 *     goes on with it
 * @param reason what the last change was for
 * @param leader the incarnation that made it
 */
public record ZonePlan(
    long number,
    SortedMap<String, ZoneAllocation> allocations,
    SortedMap<String, ZoneState> states,
    SortedMap<String, Integer> flapCounts,
    String reason,
    String leader) {
  /** A plan of its own: later changes of the arguments change nothing. */
  public ZonePlan {
    allocations = Collections.unmodifiableSortedMap(new TreeMap<>(allocations));
    states = Collections.unmodifiableSortedMap(new TreeMap<>(states));
    flapCounts = Collections.unmodifiableSortedMap(new TreeMap<>(flapCounts));
  }

  /** The plan before any: all near. */
  public static ZonePlan first(ZoneTopology topology) {
    SortedMap<String, ZoneAllocation> allocations = new TreeMap<>();
    SortedMap<String, ZoneState> states = new TreeMap<>();
    for (String zone : topology.zones()) {
      allocations.put(zone, nearWithTrial(topology, zone));
      states.put(zone, ZoneState.NEAR);
    }
    return new ZonePlan(0, allocations, states, new TreeMap<>(), "", "");
  }

  /** All near but a trial part at the nearest other zone, which keeps evidence of it. */
  public static ZoneAllocation nearWithTrial(ZoneTopology topology, String zone) {
    return withFarWeight(topology, zone, ZoneAllocation.TRIAL_WEIGHT);
  }

  /**
   * What a router may do that holds no lease on a plan and finds its own zone bad: its reserve at
   * the nearest other zone, which every plan leaves to it.
   */
  public static ZoneAllocation withoutLease(ZoneTopology topology, String zone) {
    int farWeight = Math.max(ZoneAllocation.TRIAL_WEIGHT, topology.reserveWeight());
    return withFarWeight(topology, zone, farWeight);
  }

  private static ZoneAllocation withFarWeight(ZoneTopology topology, String zone, int farWeight) {
    List<String> others = topology.othersByDistance(zone);
    if (others.isEmpty()) {
      return ZoneAllocation.allNear(zone);
    }
    Map<String, Integer> weights = new LinkedHashMap<>();
    weights.put(zone, ZoneAllocation.TOTAL_WEIGHT - farWeight);
    weights.put(others.get(0), farWeight);
    return new ZoneAllocation(weights);
  }

  /** The allocation of a zone; near where the plan does not know it. */
  public ZoneAllocation allocationOf(String zone) {
    return allocations.getOrDefault(zone, ZoneAllocation.allNear(zone));
  }
}
