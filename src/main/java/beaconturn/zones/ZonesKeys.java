package beaconturn.zones;

/**
 * Keys of zone entries in the store, below the prefix of a fleet.
 *
 * <pre>
 * zones/plan        the plan in force
 * zones/office      the leader, under its lease
 * zones/order/P     an operator override of a zone, under a lease if it expires
 * zones/seen/N/I    the report of a router, under its lease
 * zones-history/N   each plan
 * </pre>
 *
 * @param fleet prefix of the fleet
 */
public record ZonesKeys(String fleet) {
  /** Returns the prefix of all keys but those of the plan history. */
  public String prefix() {
    return fleet + "/zones/";
  }

  String plan() {
    return prefix() + "plan";
  }

  String leader() {
    return prefix() + "office";
  }

  String overridesPrefix() {
    return prefix() + "order/";
  }

  String override(String zone) {
    return overridesPrefix() + zone;
  }

  String reportsPrefix() {
    return prefix() + "seen/";
  }

  String report(String router) {
    return reportsPrefix() + router;
  }

  /** Returns the prefix of the plan history. */
  public String plansPrefix() {
    return fleet + "/zones-history/";
  }

  String pastPlan(long number) {
    return plansPrefix() + String.format("%09d", number);
  }
}
