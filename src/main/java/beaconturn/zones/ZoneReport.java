package beaconturn.zones;

import java.util.Collections;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * What a router tells the store of what it sees.
 *
 * @param router its name and incarnation
 * @param home the place where it stands
 * @param number grows with each report of the process
 * @param plan the plan that it acts on, or 0 without a lease on one
 * @param arrivals requests that it has taken since its start
 * @param places what it sees of each place
 */
public record ZoneReport(
    String router,
    String home,
    long number,
    long plan,
    long arrivals,
    SortedMap<String, ZoneObservations> places) {
  /** A report of its own. */
  public ZoneReport {
    places = Collections.unmodifiableSortedMap(new TreeMap<>(places));
  }
}
