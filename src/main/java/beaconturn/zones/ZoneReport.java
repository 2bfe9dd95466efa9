package beaconturn.zones;

import java.util.Collections;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * A router's report of its observations, as written to the store.
 *
 * @param router name and incarnation of the router, separated by a slash
 * @param homeZone zone of the router
 * @param sequenceNumber increases with each report of the process
 * @param planNumber number of the plan that the router acts on; 0 without a lease on a plan
 * @param arrivals requests received since the start of the process
 * @param zones observations by zone
 */
public record ZoneReport(
    String router,
    String homeZone,
    long sequenceNumber,
    long planNumber,
    long arrivals,
    SortedMap<String, ZoneObservations> zones) {
  /** Makes defensive copies of mutable arguments. */
  public ZoneReport {
    zones = Collections.unmodifiableSortedMap(new TreeMap<>(zones));
  }
}
