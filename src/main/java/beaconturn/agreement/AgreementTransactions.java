package beaconturn.agreement;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * The steps of a version through the store, each one transaction that holds only where what it was
 * decided on is still so: two that take the same step at the same time have taken it once, and
 * nobody can skip one. Any thread.
 */
public final class AgreementTransactions {
  private static final long NO_LEASE = 0;

  private final AgreementKeys keys;

  /** The steps below a fleet's prefix. */
  public AgreementTransactions(AgreementKeys keys) {
    this.keys = keys;
  }

  /** Begins an agreement in a store that has none; the id is to be new each time. */
  public StoreRequest.Transaction begin(String agreementId) {
    return new StoreRequest.Transaction(
        List.of(
            new StoreRequest.Condition.Unchanged(keys.agreementId(), 0),
            new StoreRequest.Condition.Unchanged(keys.current(), 0)),
        List.of(put(keys.agreementId(), agreementId), put(keys.settled(), "0")));
  }

  /**
   * Proposes a version of the content.
   *
   * @throws AgreementException while another step is open
   */
  public AgreementStep propose(
      AgreementSnapshot snapshot,
      long number,
      ConfigContent content,
      String author,
      String reason,
      long atMillis)
      throws AgreementException {
    requireNoOpenStep(snapshot);
    ConfigVersion proposed = ConfigVersion.of(number, content, author, reason, atMillis);
    String text = ConfigCodec.encode(proposed);
    return new AgreementStep(
        new StoreRequest.Transaction(
            List.of(
                snapshot.unchanged(keys.agreementId()),
                snapshot.unchanged(keys.proposed()),
                snapshot.unchanged(keys.current()),
                snapshot.unchanged(keys.settled()),
                new StoreRequest.Condition.Unchanged(keys.version(number), 0)),
            List.of(put(keys.proposed(), text), put(keys.version(number), text))),
        "version " + number + " is proposed");
  }

  private static void requireNoOpenStep(AgreementSnapshot snapshot) throws AgreementException {
    if (snapshot.agreementId().isEmpty()) {
      throw new AgreementException("no agreement was begun in this store: see 'agreement init'");
    }
    if (snapshot.proposedNumber() != 0) {
      throw new AgreementException(
          "version " + snapshot.proposedNumber() + " is proposed and not in force yet");
    }
    if (snapshot.settledNumber() < snapshot.current().number()) {
      throw new AgreementException(
          "version "
              + snapshot.current().number()
              + " is in force and not settled yet: see 'agreement show' for who does not"
              + " act on it");
    }
  }

  /**
   * Turns the proposed version down.
   *
   * @throws AgreementException if none is proposed
   */
  public AgreementStep withdraw(AgreementSnapshot snapshot, String reason)
      throws AgreementException {
    if (snapshot.proposedNumber() == 0) {
      throw new AgreementException("no version is proposed");
    }
    return new AgreementStep(
        new StoreRequest.Transaction(
            List.of(snapshot.unchanged(keys.proposed()), snapshot.unchanged(keys.current())),
            List.of(
                new StoreRequest.Change.Delete(keys.proposed()),
                put(keys.rejectionReason(snapshot.proposedNumber()), reason))),
        "version " + snapshot.proposedNumber() + " is turned down: " + reason);
  }

  /**
   * The step that is due, or null while somebody is waited for. A proposed version needs the ack of
   * every member, also of those out of reach: they may still act on the version in force. One in
   * force is settled once each member acts on it or has lost its lease, and so acts on nothing that
   * contradicts it.
   *
   * @param recordsRead all members' records
   * @param liveRead the keys of those that hold leases
   * @throws AgreementException if a record cannot be read
   */
  public AgreementStep dueStep(
      AgreementSnapshot snapshot, StoreResponse.Success recordsRead, StoreResponse.Success liveRead)
      throws AgreementException {
    List<MemberRecord> members = members(recordsRead);
    if (snapshot.proposedNumber() != 0) {
      return dueStepOfProposed(snapshot, members, recordsRead.storeRevision());
    }
    boolean unsettled = snapshot.settledNumber() < snapshot.current().number();
    return unsettled && awaitedMembers(snapshot, members, liveRead).isEmpty()
        ? settle(snapshot, recordsRead.storeRevision())
        : null;
  }

  private AgreementStep dueStepOfProposed(
      AgreementSnapshot snapshot, List<MemberRecord> members, long recordsRevision)
      throws AgreementException {
    for (MemberRecord member : members) {
      if (member.nackedNumber() == snapshot.proposedNumber()) {
        return withdraw(snapshot, member.name() + " says no: " + member.nackReason());
      }
    }
    boolean ackedByAll =
        members.stream().allMatch(m -> m.ackedNumber() >= snapshot.proposedNumber());
    return snapshot.proposed() != null && ackedByAll ? enforce(snapshot, recordsRevision) : null;
  }

  /** Nobody may have joined since the records were read: its ack would be missing. */
  private AgreementStep enforce(AgreementSnapshot snapshot, long recordsRevision) {
    List<StoreRequest.Change> changes = new ArrayList<>();
    changes.add(put(keys.current(), ConfigCodec.encode(snapshot.proposed())));
    changes.add(new StoreRequest.Change.Delete(keys.proposed()));
    if (snapshot.current().number() > 0) {
      changes.add(put(keys.previous(), ConfigCodec.encode(snapshot.current())));
    }
    return new AgreementStep(
        new StoreRequest.Transaction(
            List.of(
                snapshot.unchanged(keys.proposed()),
                snapshot.unchanged(keys.current()),
                noRecordChangedAfter(recordsRevision)),
            changes),
        "version " + snapshot.proposedNumber() + " is in force");
  }

  private AgreementStep settle(AgreementSnapshot snapshot, long recordsRevision) {
    String number = Long.toString(snapshot.current().number());
    return new AgreementStep(
        new StoreRequest.Transaction(
            List.of(
                snapshot.unchanged(keys.current()),
                snapshot.unchanged(keys.settled()),
                noRecordChangedAfter(recordsRevision)),
            List.of(put(keys.settled(), number))),
        "version " + number + " is settled");
  }

  private StoreRequest.Condition noRecordChangedAfter(long recordsRevision) {
    return new StoreRequest.Condition.NoneModifiedAfter(keys.membersPrefix(), recordsRevision);
  }

  /**
   * Names of the members that are waited for: for an ack, or to act on the version in force.
   *
   * @param liveRead the keys of members that hold leases
   */
  public List<String> awaitedMembers(
      AgreementSnapshot snapshot, List<MemberRecord> members, StoreResponse.Success liveRead) {
    Set<String> liveKeys = new HashSet<>();
    liveRead.entries().forEach(entry -> liveKeys.add(entry.key()));
    return members.stream()
        .filter(member -> isAwaited(snapshot, member, liveKeys))
        .map(MemberRecord::name)
        .toList();
  }

  private boolean isAwaited(AgreementSnapshot snapshot, MemberRecord member, Set<String> liveKeys) {
    if (snapshot.proposedNumber() != 0) {
      return member.ackedNumber() < snapshot.proposedNumber();
    }
    boolean live = liveKeys.contains(keys.liveMember(member.name(), member.incarnation()));
    return live && member.actingNumber() < snapshot.current().number();
  }

  /**
   * Decodes all members' records.
   *
   * @throws AgreementException if one cannot be read
   */
  public static List<MemberRecord> members(StoreResponse.Success recordsRead)
      throws AgreementException {
    List<MemberRecord> members = new ArrayList<>();
    for (StoreResponse.Entry entry : recordsRead.entries()) {
      members.add(MemberRecord.decode(entry.value()));
    }
    return members;
  }

  private static StoreRequest.Change put(String key, String value) {
    return new StoreRequest.Change.Put(key, value, NO_LEASE);
  }
}
