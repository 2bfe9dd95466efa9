package beaconturn.agreement;

import java.util.ArrayList;
import java.util.List;

/**
 * A member's record in the store: how it comes there, is updated and is taken away. For the
 * member's thread.
 */
final class MemberRegistration {
  private final AgreementKeys keys;
  private final MemberIdentity identity;
  private boolean joined;

  /** Records of this router's name, or null until they are read. */
  private StoreResponse.Success namesakes;

  MemberRegistration(AgreementKeys keys, MemberIdentity identity) {
    this.keys = keys;
    this.identity = identity;
  }

  /** Whether a record of this process stands in the store, as far as it knows. */
  boolean isJoined() {
    return joined;
  }

  void handleJoined() {
    joined = true;
  }

  /** The record is gone, or stands there without a lease. */
  void leave() {
    joined = false;
  }

  void handleNamesakes(StoreResponse.Success response) {
    namesakes = response;
  }

  /** Has the records of this router's name read again before the next attempt to join. */
  void forgetNamesakes() {
    namesakes = null;
  }

  /** The next request on the way into the store. */
  PendingRequest joinRequest(AgreementSnapshot snapshot, MemberRecord member, long leaseId) {
    if (namesakes == null) {
      String prefix = keys.membersPrefix() + identity.name() + "/";
      return new PendingRequest(RequestPurpose.READ_NAMESAKES, new StoreRequest.Read(prefix));
    }
    return new PendingRequest(RequestPurpose.JOIN, join(snapshot, member, leaseId));
  }

  /**
   * Holds only on the versions that were read: if a step was taken meanwhile the member reads
   * again, so that nobody moves on without its ack.
   */
  private StoreRequest join(AgreementSnapshot snapshot, MemberRecord member, long leaseId) {
    List<StoreRequest.Change> changes = new ArrayList<>();
    if (!identity.sharesName()) {
      // Whoever had this name before is dead: its address is this process's.
      namesakes.entries().stream()
          .filter(entry -> !entry.key().equals(recordKey()))
          .forEach(entry -> changes.add(new StoreRequest.Change.Delete(entry.key())));
    }
    changes.add(putRecord(member));
    String liveMemberKey = keys.liveMember(identity.name(), identity.incarnation());
    changes.add(new StoreRequest.Change.Put(liveMemberKey, "", leaseId));
    return new StoreRequest.Transaction(snapshot.versionsUnchanged(keys), changes);
  }

  /** Holds only while the record stands: one that was declared lost does not come back by this. */
  PendingRequest updateRequest(MemberRecord member) {
    StoreRequest update = new StoreRequest.Transaction(recordExists(), List.of(putRecord(member)));
    return new PendingRequest(RequestPurpose.UPDATE_RECORD, update);
  }

  StoreRequest removeRequest() {
    return new StoreRequest.Transaction(
        recordExists(), List.of(new StoreRequest.Change.Delete(recordKey())));
  }

  private List<StoreRequest.Condition> recordExists() {
    return List.of(new StoreRequest.Condition.Exists(recordKey()));
  }

  private StoreRequest.Change putRecord(MemberRecord member) {
    return new StoreRequest.Change.Put(recordKey(), member.encode(), StoreLease.NONE);
  }

  private String recordKey() {
    return keys.member(identity.name(), identity.incarnation());
  }
}
