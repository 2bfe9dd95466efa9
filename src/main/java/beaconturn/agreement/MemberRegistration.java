package beaconturn.agreement;

import java.util.ArrayList;
import java.util.List;

/** Creates, updates and removes a member's record in the store. Confined to the member's thread. */
final class MemberRegistration {
  private final AgreementKeys keys;
  private final MemberIdentity identity;
  private boolean joined;

  /** All records of this router, of any incarnation; null until they are read. */
  private StoreResponse.Success routerRecords;

  MemberRegistration(AgreementKeys keys, MemberIdentity identity) {
    this.keys = keys;
    this.identity = identity;
  }

  /** Whether the store holds a record of this process, as far as the member knows. */
  boolean isJoined() {
    return joined;
  }

  void handleJoined() {
    joined = true;
  }

  /** Marks the member as not joined: its record is deleted or its lease has expired. */
  void leave() {
    joined = false;
  }

  void handleRouterRecords(StoreResponse.Success response) {
    routerRecords = response;
  }

  /** Discards the records of this router, so that the next join reads them again. */
  void forgetRouterRecords() {
    routerRecords = null;
  }

  /** Returns the next request that is needed to join. */
  PendingRequest joinRequest(AgreementSnapshot snapshot, MemberRecord member, long leaseId) {
    if (routerRecords == null) {
      String prefix = keys.membersPrefix() + identity.name() + "/";
      return new PendingRequest(RequestPurpose.READ_ROUTER_RECORDS, new StoreRequest.Read(prefix));
    }
    return new PendingRequest(RequestPurpose.JOIN, join(snapshot, member, leaseId));
  }

  /**
   * Returns the transaction that joins, on condition that the versions that were read are
   * unchanged: if a step was committed since, the member reads again, so that no version comes into
   * force without its ack.
   */
  private StoreRequest join(AgreementSnapshot snapshot, MemberRecord member, long leaseId) {
    List<StoreRequest.Change> changes = new ArrayList<>();
    if (!identity.sharesName()) {
      // This process has bound the router's address, so earlier incarnations have ended.
      routerRecords.entries().stream()
          .filter(entry -> !entry.key().equals(recordKey()))
          .forEach(entry -> changes.add(new StoreRequest.Change.Delete(entry.key())));
    }
    changes.add(putRecord(member));
    String liveMemberKey = keys.liveMember(identity.name(), identity.incarnation());
    changes.add(new StoreRequest.Change.Put(liveMemberKey, "", leaseId));
    return new StoreRequest.Transaction(snapshot.versionsUnchanged(keys), changes);
  }

  /**
   * Returns the request that updates the member's record, on condition that the record exists: a
   * record that an operator deleted must not be recreated.
   */
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
