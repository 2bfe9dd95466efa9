package beaconturn.agreement;

/**
 * Builds the keys of the agreement in the coordination store. Each fleet has its own prefix.
 *
 * <pre>
 * common/identity  id of the agreement, written once when it is created
 * common/current   the version in force
 * common/previous  the version that was in force before
 * common/next      the proposed version
 * common/settled   number of the last version that all members act on
 * common/office    incarnation of the step leader, bound to its lease
 * history/N        every proposed version; history/N.no holds the reason if it was rejected
 * roster/NAME/I    member record: its ack or nack and the version it acts on; no lease
 * alive/NAME/I     liveness entry of the member, bound to its lease
 * sight/NAME/I     the member's view of each cache server, bound to its lease
 * </pre>
 *
 * @param fleet prefix of all keys
 */
public record AgreementKeys(String fleet) {
  /** Suffix of the key that holds the reason for a version's rejection. */
  static final String REJECTION_SUFFIX = ".no";

  /** Prefix of the keys that every member reads. */
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

  /** Prefix of the keys of all versions ever proposed. */
  public String versionsPrefix() {
    return fleet + "/history/";
  }

  String version(long number) {
    return versionsPrefix() + String.format("%09d", number);
  }

  String rejectionReason(long number) {
    return version(number) + REJECTION_SUFFIX;
  }

  /** Prefix of the keys of all member records. */
  public String membersPrefix() {
    return fleet + "/roster/";
  }

  String member(String name, String incarnation) {
    return membersPrefix() + name + "/" + incarnation;
  }

  /** Prefix of the liveness keys of all members that hold a lease. */
  public String liveMembersPrefix() {
    return fleet + "/alive/";
  }

  String liveMember(String name, String incarnation) {
    return liveMembersPrefix() + name + "/" + incarnation;
  }

  /** Prefix of the keys of the members' endpoint views. */
  public String endpointViewsPrefix() {
    return fleet + "/sight/";
  }

  String endpointView(String name, String incarnation) {
    return endpointViewsPrefix() + name + "/" + incarnation;
  }
}
