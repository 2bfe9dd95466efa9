package beaconturn.agreement;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Builds the transactions that move a version through its states: proposed, in force, settled. Each
 * is conditional on the state that it was decided on, so concurrent commits of the same step take
 * effect once and no step can be skipped. Thread-safe.
 */
public final class AgreementTransactions {
  private static final long NO_LEASE = 0;

  private final AgreementKeys keys;

  /** Creates the transactions of the fleet with these keys. */
  public AgreementTransactions(AgreementKeys keys) {
    this.keys = keys;
  }

  /** Creates an agreement in a store that has none; the id must be unique. */
  public StoreRequest.Transaction begin(String agreementId) {
    return new StoreRequest.Transaction(
        List.of(
            new StoreRequest.Condition.Unchanged(keys.agreementId(), 0),
            new StoreRequest.Condition.Unchanged(keys.current(), 0)),
        List.of(put(keys.agreementId(), agreementId), put(keys.settled(), "0")));
  }

  /**
   * Proposes a version with the content.
   *
   * @throws AgreementException if the store holds no agreement or another step is open
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
      throw new AgreementException("this store holds no agreement: see 'agreement init'");
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
   * Rejects the proposed version.
   *
   * @throws AgreementException if no version is proposed
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
   * Returns the step that is due, or null while a member is awaited. A proposed version needs the
   * ack of every member, even of unreachable ones, as they may still act on the version in force. A
   * version in force is settled once every member acts on it or has lost its lease, since a member
   * without a lease acts on nothing that contradicts it.
   *
   * @param recordsRead response to the read of all member records
   * @param liveRead response to the read of all liveness keys
   * @throws AgreementException if a record cannot be decoded
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

  /** Conditional on unchanged records: the ack of a member that joined later would be missing. */
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
   * Returns the names of the members that have not acked the proposed version or, if none is
   * proposed, hold a lease and do not act on the version in force yet.
   *
   * @param liveRead response to the read of all liveness keys
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
   * Decodes all member records.
   *
   * @throws AgreementException if a record cannot be decoded
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
