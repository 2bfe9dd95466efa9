package beaconturn.zones;

import java.util.Collections;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * What a router writes into the store of what it sees.
 *
 * @param router its name and incarnation, with a slash between
 * @param homeZone the zone that it is in
 * @param sequenceNumber grows with each report of the process
 * @param planNumber the plan that it acts on, or 0 without a lease on one
 * @param arrivals requests that it has taken since its start
 * @param zones what it sees of each zone
 */
public record ZoneReport(
    String router,
    String homeZone,
    long sequenceNumber,
    long planNumber,
    long arrivals,
    SortedMap<String, ZoneObservations> zones) {
  /** A report of its own: later changes of the arguments change nothing. */
  public ZoneReport {
    zones = Collections.unmodifiableSortedMap(new TreeMap<>(zones));
  }
}
