package beaconturn.zones;

/** Supplies a router's own observations of all zones. */
public interface ZoneReportSource {
  /**
   * Returns the observations since the start of the router. Called on the member's thread.
   *
   * @param router name and incarnation of the router, separated by a slash
   * @param sequenceNumber sequence number of the report
   * @param planNumber number of the plan that the router acts on; 0 without a lease on a plan
   */
  ZoneReport report(String router, long sequenceNumber, long planNumber);
}
