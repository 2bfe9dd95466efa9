package beaconturn.zones;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * A failover plan: the allocation and the state of every zone.
 *
 * @param number version of the plan, increasing
 * @param allocations by home zone
 * @param states by zone
 * @param flapCounts recent flaps by zone; part of the plan so that a new leader continues them
 * @param reason reason of the last change
 * @param leader name and incarnation of the router that made the plan
 */
public record ZonePlan(
    long number,
    SortedMap<String, ZoneAllocation> allocations,
    SortedMap<String, ZoneState> states,
    SortedMap<String, Integer> flapCounts,
    String reason,
    String leader) {
  /** Makes defensive copies of mutable arguments. */
  public ZonePlan {
    allocations = Collections.unmodifiableSortedMap(new TreeMap<>(allocations));
    states = Collections.unmodifiableSortedMap(new TreeMap<>(states));
    flapCounts = Collections.unmodifiableSortedMap(new TreeMap<>(flapCounts));
  }

  /** Returns the plan before any decision: each zone serves its own keys. */
  public static ZonePlan initial(ZoneTopology topology) {
    SortedMap<String, ZoneAllocation> allocations = new TreeMap<>();
    SortedMap<String, ZoneState> states = new TreeMap<>();
    for (String zone : topology.zones()) {
      allocations.put(zone, homeWithTrial(topology, zone));
      states.put(zone, ZoneState.NEAR);
    }
    return new ZonePlan(0, allocations, states, new TreeMap<>(), "", "");
  }

  /** Returns an allocation to the home zone with a trial weight at the nearest other zone. */
  public static ZoneAllocation homeWithTrial(ZoneTopology topology, String zone) {
    return withRemoteWeight(topology, zone, ZoneAllocation.TRIAL_WEIGHT);
  }

  /**
   * Returns the allocation of a router that holds no lease on a plan and sees its home zone as
   * unhealthy: it may use the reserve at the nearest other zone, which every plan keeps free.
   */
  public static ZoneAllocation withoutLease(ZoneTopology topology, String zone) {
    int remoteWeight = Math.max(ZoneAllocation.TRIAL_WEIGHT, topology.reserveWeight());
    return withRemoteWeight(topology, zone, remoteWeight);
  }

  private static ZoneAllocation withRemoteWeight(
      ZoneTopology topology, String zone, int remoteWeight) {
    List<String> others = topology.othersByDistance(zone);
    if (others.isEmpty()) {
      return ZoneAllocation.allAtHome(zone);
    }
    Map<String, Integer> weights = new LinkedHashMap<>();
    weights.put(zone, ZoneAllocation.TOTAL_WEIGHT - remoteWeight);
    weights.put(others.get(0), remoteWeight);
    return new ZoneAllocation(weights);
  }

  /**
   * Returns the allocation of a zone; all keys stay there if the plan does not contain the zone.
   */
  public ZoneAllocation allocationOf(String zone) {
    return allocations.getOrDefault(zone, ZoneAllocation.allAtHome(zone));
  }
}
