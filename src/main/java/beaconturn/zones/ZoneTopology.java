package beaconturn.zones;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * The zones and what operators say of them.
 *
 * @param regions the region of each zone
 * @param serverRequestsPerSecond what one warm cache server is known to carry
 * @param fetchesPerSecond requests a second that a move may bring to cache servers which do not
 *     have their keys
 * @param reserveWeight thousandths of a zone's keys that its routers may send to the nearest other
 *     zone by themselves
 */
public record ZoneTopology(
    SortedMap<String, String> regions,
    double serverRequestsPerSecond,
    double fetchesPerSecond,
    int reserveWeight) {
  /** A topology of its own: later changes of the arguments change nothing. */
  public ZoneTopology {
    regions = Collections.unmodifiableSortedMap(new TreeMap<>(regions));
  }

  /** All zones in the order of their names. */
  public List<String> zones() {
    return List.copyOf(regions.keySet());
  }

  /**
   * The other zones, the nearest first: those of the region, then the rest, each beginning behind
   * the zone itself, so that not all zones turn to the same one.
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
