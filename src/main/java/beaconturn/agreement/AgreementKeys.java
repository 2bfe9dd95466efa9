package beaconturn.agreement;

/**
 * The keys of the agreement in the store, below one prefix for each fleet.
 *
 * <pre>
 * common/identity  which agreement this is; made once
 * common/current   the version in force
 * common/previous  the one before it
 * common/next      a version that is proposed
 * common/settled   the last version that all act on
 * common/office    the leader, who takes the steps, on a lease
 * history/N        each version, and history/N.no why one was turned down
 * roster/NAME/I    a member's record: its ack or nack, and the version it acts on; no lease
 * alive/NAME/I     the same member, on its lease
 * sight/NAME/I     what it makes of each cache server, on its lease
 * </pre>
 *
 * @param fleet the prefix
 */
public record AgreementKeys(String fleet) {
  /** Ends the key of the reason why a version was turned down. */
  static final String REJECTION_SUFFIX = ".no";

  /** Begins the keys of all that every member reads. */
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

  /** Begins the keys of all versions there ever were. */
  public String versionsPrefix() {
    return fleet + "/history/";
  }

  String version(long number) {
    return versionsPrefix() + String.format("%09d", number);
  }

  String rejectionReason(long number) {
    return version(number) + REJECTION_SUFFIX;
  }

  /** Begins the keys of all members' records. */
  public String membersPrefix() {
    return fleet + "/roster/";
  }

  String member(String name, String incarnation) {
    return membersPrefix() + name + "/" + incarnation;
  }

  /** Begins the keys of all members that hold leases. */
  public String liveMembersPrefix() {
    return fleet + "/alive/";
  }

  String liveMember(String name, String incarnation) {
    return liveMembersPrefix() + name + "/" + incarnation;
  }

  /** Begins the keys of what members make of cache servers. */
  public String endpointViewsPrefix() {
    return fleet + "/sight/";
  }

  String endpointView(String name, String incarnation) {
    return endpointViewsPrefix() + name + "/" + incarnation;
  }
}
