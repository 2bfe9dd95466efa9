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
  public String commonPrefix() {
    return fleet + "/common/";
  }

  String agreementId() {
    return commonPrefix() + "identity";
  }

  String current() {
    return commonPrefix() + "current";
  }

  String previous() {
    return commonPrefix() + "previous";
  }

  String proposed() {
    return commonPrefix() + "next";
  }

  String settled() {
    return commonPrefix() + "settled";
  }

  String leader() {
    return commonPrefix() + "office";
  }

  /** All versions there ever were. */
  public String versionsPrefix() {
    return fleet + "/history/";
  }

  String version(long number) {
    return versionsPrefix() + String.format("%09d", number);
  }

  String rejectionReason(long number) {
    return version(number) + ".no";
  }

  /** All routers. */
  public String membersPrefix() {
    return fleet + "/roster/";
  }

  String member(String name, String incarnation) {
    return membersPrefix() + name + "/" + incarnation;
  }

  /** All routers that hold leases. */
  public String liveMembersPrefix() {
    return fleet + "/alive/";
  }

  String liveMember(String name, String incarnation) {
    return liveMembersPrefix() + name + "/" + incarnation;
  }

  /** What routers make of cache servers. */
  public String endpointViewsPrefix() {
    return fleet + "/sight/";
  }

  String endpointView(String name, String incarnation) {
    return endpointViewsPrefix() + name + "/" + incarnation;
  }
}
