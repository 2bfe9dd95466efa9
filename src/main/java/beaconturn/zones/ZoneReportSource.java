package beaconturn.zones;

/** A router's own observations of all zones. */
public interface ZoneReportSource {
  /**
   * What the router has seen since its start, on the member's thread.
   *
   * @param router name and incarnation
   * @param sequenceNumber of the report
   * @param planNumber the plan that the router acts on, 0 for none
   */
  ZoneReport report(String router, long sequenceNumber, long planNumber);
}
