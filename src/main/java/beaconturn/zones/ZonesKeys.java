package beaconturn.zones;

/**
 * The keys of the zones in the store, below a fleet's prefix.
 *
 * <pre>
 * zones/plan        the plan at hand
 * zones/office      the leader, who decides, on a lease
 * zones/order/P     an operator's override of a zone, on a lease where it is to end by itself
 * zones/seen/N/I    what a router sees, on its lease
 * zones-history/N   each plan
 * </pre>
 *
 * @param fleet the prefix
 */
public record ZonesKeys(String fleet) {
  /** Begins all keys but those of past plans. */
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

  /** Begins the keys of all plans there ever were. */
  public String plansPrefix() {
    return fleet + "/zones-history/";
  }

  String pastPlan(long number) {
    return plansPrefix() + String.format("%09d", number);
  }
}
