package beaconturn.zones;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * The zones of a fleet and their operator-defined limits.
 *
 * @param regions region by zone
 * @param serverRequestsPerSecond capacity of one warm cache server
 * @param fetchesPerSecond requests per second that a move may send to cache servers without their
 *     keys
 * @param reserveWeight thousandths of a zone's keys that its routers may send to the nearest other
 *     zone without a plan
 */
public record ZoneTopology(
    SortedMap<String, String> regions,
    double serverRequestsPerSecond,
    double fetchesPerSecond,
    int reserveWeight) {
  /** Makes defensive copies of mutable arguments. */
  public ZoneTopology {
    regions = Collections.unmodifiableSortedMap(new TreeMap<>(regions));
  }

  /** Returns all zones in alphabetical order. */
  public List<String> zones() {
    return List.copyOf(regions.keySet());
  }

  /**
   * Returns the other zones, nearest first: those of the same region, then the rest. Each group
   * starts after the zone itself in alphabetical order, so that zones differ in their first choice.
   */
  public List<String> othersByDistance(String zone) {
    List<String> others = new ArrayList<>(regions.keySet());
    Collections.rotate(others, -others.indexOf(zone));
    others.remove(zone);
    String region = regions.get(zone);
    others.sort(Comparator.comparing(other -> !regions.get(other).equals(region)));
    return others;
  }
}
