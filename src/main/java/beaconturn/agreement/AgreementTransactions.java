package beaconturn.agreement;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * The steps of a version through the store, each one swap that holds only where what it was decided
 * on is still so: two that take the same step at the same time have taken it once, and nobody can
 * skip one.
 */
public final class AgreementTransactions {
  private final AgreementKeys keys;

  /** The steps below a fleet's prefix. */
  public AgreementTransactions(AgreementKeys keys) {
    this.keys = keys;
  }

  /** Begins an agreement in a store that has none; {@code identity} is to be new each time. */
  public StoreRequest.Transaction begin(String identity) {
    return new StoreRequest.Transaction(
        List.of(
            new StoreRequest.Condition.Unchanged(keys.agreementId(), 0),
            new StoreRequest.Condition.Unchanged(keys.current(), 0)),
        List.of(put(keys.agreementId(), identity), put(keys.settled(), "0")));
  }

  /**
   * Proposes the version that the content would be; refused in words while another step is open.
   */
  public AgreementStep propose(
      AgreementSnapshot seen,
      long number,
      ConfigContent content,
      String author,
      String reason,
      long atMillis)
      throws AgreementException {
    if (seen.agreementId().isEmpty()) {
      throw new AgreementException("no agreement was begun in this store: see 'agreement init'");
    }
    if (seen.proposedNumber() != 0) {
      throw new AgreementException(
          "version " + seen.proposedNumber() + " is proposed and not in force yet");
    }
    if (seen.settledNumber() < seen.current().number()) {
      throw new AgreementException(
          "version "
              + seen.current().number()
              + " is in force and not settled yet: see 'agreement show' for who does not"
              + " act on it");
    }
    ConfigVersion next = ConfigVersion.of(number, content, author, reason, atMillis);
    return new AgreementStep(
        new StoreRequest.Transaction(
            List.of(
                seen.unchanged(keys.agreementId()),
                seen.unchanged(keys.proposed()),
                seen.unchanged(keys.current()),
                seen.unchanged(keys.settled()),
                new StoreRequest.Condition.Unchanged(keys.version(number), 0)),
            List.of(
                put(keys.proposed(), ConfigCodec.encode(next)),
                put(keys.version(number), ConfigCodec.encode(next)))),
        "version " + number + " is proposed");
  }

  /** Takes the proposed version back, for a reason. */
  public AgreementStep withdraw(AgreementSnapshot seen, String why) throws AgreementException {
    if (seen.proposedNumber() == 0) {
      throw new AgreementException("no version is proposed");
    }
    return new AgreementStep(
        new StoreRequest.Transaction(
            List.of(seen.unchanged(keys.proposed()), seen.unchanged(keys.current())),
            List.of(
                new StoreRequest.Change.Delete(keys.proposed()),
                put(keys.rejectionReason(seen.proposedNumber()), why))),
        "version " + seen.proposedNumber() + " is turned down: " + why);
  }

  /**
   * The step that is due, or null while somebody is waited for. A proposed version needs the yes of
   * every router on the roster, also of those out of reach: they may still act on the version in
   * force. One in force is settled once each router acts on it or has lost its lease, and so stands
   * on safe ground.
   */
  public AgreementStep dueStep(
      AgreementSnapshot seen, StoreResponse.Success roster, StoreResponse.Success alive)
      throws AgreementException {
    List<MemberRecord> members = members(roster);
    if (seen.proposedNumber() != 0) {
      for (MemberRecord seat : members) {
        if (seat.nackedNumber() == seen.proposedNumber()) {
          return withdraw(seen, seat.name() + " says no: " + seat.nackReason());
        }
      }
      boolean all =
          seen.proposed() != null
              && members.stream().allMatch(s -> s.ackedNumber() >= seen.proposedNumber());
      return all ? enforce(seen, roster.storeRevision()) : null;
    }
    if (seen.settledNumber() < seen.current().number()
        && awaitedMembers(seen, members, alive).isEmpty()) {
      return new AgreementStep(
          new StoreRequest.Transaction(
              List.of(
                  seen.unchanged(keys.current()),
                  seen.unchanged(keys.settled()),
                  new StoreRequest.Condition.NoneModifiedAfter(
                      keys.membersPrefix(), roster.storeRevision())),
              List.of(put(keys.settled(), Long.toString(seen.current().number())))),
          "version " + seen.current().number() + " is settled");
    }
    return null;
  }

  /** Who is waited for, by name: for a yes, or to act on the version in force. */
  public List<String> awaitedMembers(
      AgreementSnapshot seen, List<MemberRecord> members, StoreResponse.Success alive) {
    Set<String> living = new HashSet<>();
    alive.entries().forEach(pair -> living.add(pair.key()));
    List<String> names = new ArrayList<>();
    for (MemberRecord seat : members) {
      boolean waits =
          seen.proposedNumber() != 0
              ? seat.ackedNumber() < seen.proposedNumber()
              : seat.actingNumber() < seen.current().number()
                  && living.contains(keys.liveMember(seat.name(), seat.incarnation()));
      if (waits) {
        names.add(seat.name());
      }
    }
    return names;
  }

  /** The routers of a roster as it was read. */
  public static List<MemberRecord> members(StoreResponse.Success roster) throws AgreementException {
    List<MemberRecord> members = new ArrayList<>();
    for (StoreResponse.Entry pair : roster.entries()) {
      members.add(MemberRecord.decode(pair.value()));
    }
    return members;
  }

  /** Nobody may have joined since the roster was read: its yes would be missing. */
  private AgreementStep enforce(AgreementSnapshot seen, long rosterRevision) {
    List<StoreRequest.Change> changes =
        new ArrayList<>(
            List.of(
                put(keys.current(), ConfigCodec.encode(seen.proposed())),
                new StoreRequest.Change.Delete(keys.proposed())));
    if (seen.current().number() > 0) {
      changes.add(put(keys.previous(), ConfigCodec.encode(seen.current())));
    }
    return new AgreementStep(
        new StoreRequest.Transaction(
            List.of(
                seen.unchanged(keys.proposed()),
                seen.unchanged(keys.current()),
                new StoreRequest.Condition.NoneModifiedAfter(keys.membersPrefix(), rosterRevision)),
            changes),
        "version " + seen.proposedNumber() + " is in force");
  }

  private static StoreRequest.Change put(String key, String value) {
    return new StoreRequest.Change.Put(key, value, 0);
  }
}
