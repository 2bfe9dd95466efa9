package beaconturn.zones;

/**
 * Where places stand in the store, below a fleet's prefix.
 *
 * <pre>
 * zones/plan        the plan at hand
 * zones/office      who decides, on a lease
 * zones/order/P     what an operator has said of a place, on a lease where it is to end by itself
 * zones/seen/N/I    what a router sees, on its lease
 * zones-history/N   each plan
 * </pre>
 */
public record ZonesKeys(String fleet) {
  /** All but the history. */
  public String all() {
    return fleet + "/zones/";
  }

  String plan() {
    return all() + "plan";
  }

  String office() {
    return all() + "office";
  }

  String orders() {
    return all() + "order/";
  }

  String order(String place) {
    return orders() + place;
  }

  String reports() {
    return all() + "seen/";
  }

  String report(String router) {
    return reports() + router;
  }

  /** All plans there ever were. */
  public String histories() {
    return fleet + "/zones-history/";
  }

  String history(long number) {
    return histories() + String.format("%09d", number);
  }
}
