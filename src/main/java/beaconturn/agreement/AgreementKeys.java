package beaconturn.agreement;

/**
 * Where things stand in the store, below one prefix for each fleet.
 *
 * <pre>
 * common/identity  which agreement this is; made once
 * common/current   the version in force
 * common/previous  the one before it
 * common/next      a version that is proposed
 * common/settled   the last version that all act on
 * common/office    who looks after the steps, on a lease
 * history/N        each version, and history/N.no why one was turned down
 * roster/NAME/I    a router: what it says of the next version and which it acts on; no lease
 * alive/NAME/I     the same router, on its lease
 * sight/NAME/I     what it makes of each cache server, on its lease
 * </pre>
 */
public record AgreementKeys(String fleet) {
  /** All that every router reads. */
  public String common() {
    return fleet + "/common/";
  }

  String identity() {
    return common() + "identity";
  }

  String current() {
    return common() + "current";
  }

  String previous() {
    return common() + "previous";
  }

  String next() {
    return common() + "next";
  }

  String settled() {
    return common() + "settled";
  }

  String office() {
    return common() + "office";
  }

  /** All versions there ever were. */
  public String histories() {
    return fleet + "/history/";
  }

  String history(long number) {
    return histories() + String.format("%09d", number);
  }

  String refusal(long number) {
    return history(number) + ".no";
  }

  /** All routers. */
  public String rosters() {
    return fleet + "/roster/";
  }

  String roster(String name, String incarnation) {
    return rosters() + name + "/" + incarnation;
  }

  /** All routers that hold leases. */
  public String alives() {
    return fleet + "/alive/";
  }

  String alive(String name, String incarnation) {
    return alives() + name + "/" + incarnation;
  }

  /** What routers make of cache servers. */
  public String sights() {
    return fleet + "/sight/";
  }

  String sight(String name, String incarnation) {
    return sights() + name + "/" + incarnation;
  }
}
