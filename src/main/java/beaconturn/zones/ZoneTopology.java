package beaconturn.zones;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * The places and what operators say of them.
 *
 * @param regions the region of each place
 * @param eachPerSecond requests a second that one warm cache server is known to carry
 * @param fetchesPerSecond requests a second that a move may bring to cache servers which do not
 *     have their keys
 * @param reserve thousandths of a place's keys that its routers may send to the nearest other place
 *     by themselves
 */
public record ZoneTopology(
    SortedMap<String, String> regions, double eachPerSecond, double fetchesPerSecond, int reserve) {
  /** A geography of its own. */
  public ZoneTopology {
    regions = Collections.unmodifiableSortedMap(new TreeMap<>(regions));
  }

  /** All places in the order of their names. */
  public List<String> places() {
    return List.copyOf(regions.keySet());
  }

  /**
   * The other places, the nearest first: those of the region, then the rest, each beginning behind
   * the place itself, so that not all places turn to the same one.
   */
  public List<String> others(String place) {
    List<String> all = new ArrayList<>(regions.keySet());
    Collections.rotate(all, -all.indexOf(place));
    all.remove(place);
    all.sort(Comparator.comparing(p -> regions.get(p).equals(regions.get(place)) ? 0 : 1));
    return all;
  }
}
