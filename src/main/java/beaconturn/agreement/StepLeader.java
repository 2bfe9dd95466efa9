package beaconturn.agreement;

import java.util.List;
import java.util.function.Consumer;

/**
 * Commits the open step if this member is the leader, and acquires the leadership if it is vacant.
 * Confined to the member's thread.
 */
final class StepLeader {
  private final AgreementKeys keys;
  private final AgreementTransactions transactions;
  private final AgreementTiming timing;
  private final Jitter jitter;
  private final String incarnation;
  private final Consumer<String> log;

  /**
   * Earliest start of the next round, which reads the member records and then the liveness keys.
   */
  private long nextRoundNanos;

  /** The member records read in this round, or null. */
  private StoreResponse.Success members;

  /** The step that is due, or null. */
  private AgreementStep step;

  StepLeader(
      AgreementKeys keys,
      AgreementTiming timing,
      Jitter jitter,
      String incarnation,
      Consumer<String> log) {
    this.keys = keys;
    this.transactions = new AgreementTransactions(keys);
    this.timing = timing;
    this.jitter = jitter;
    this.incarnation = incarnation;
    this.log = log;
  }

  long nextRoundNanos() {
    return nextRoundNanos;
  }

  /** Whether this member is the leader or the leadership is vacant. */
  boolean mayLead(AgreementSnapshot snapshot) {
    return snapshot.leader().isEmpty() || snapshot.leader().equals(incarnation);
  }

  /**
   * Delays the attempt to acquire the vacant leadership by a random time, as all members notice the
   * vacancy at about the same time.
   */
  void handleLeaderLost(long nowNanos) {
    nextRoundNanos = nowNanos + jitter.belowNanos(timing.renewIntervalNanos());
  }

  /** Returns the next request for the open step, or null while none is due. */
  PendingRequest dueRequest(long nowNanos, AgreementSnapshot snapshot, long leaseId) {
    boolean roundInProgress = step != null || members != null;
    if (!mayLead(snapshot) || (!roundInProgress && nowNanos < nextRoundNanos)) {
      return null;
    }
    if (snapshot.leader().isEmpty()) {
      return new PendingRequest(RequestPurpose.ACQUIRE_LEADERSHIP, acquireLeadership(leaseId));
    }
    if (step != null) {
      return new PendingRequest(RequestPurpose.COMMIT_STEP, step.transaction());
    }
    if (members == null) {
      return new PendingRequest(
          RequestPurpose.READ_MEMBERS, new StoreRequest.Read(keys.membersPrefix()));
    }
    return new PendingRequest(
        RequestPurpose.READ_LIVE_MEMBERS, new StoreRequest.Read(keys.liveMembersPrefix()));
  }

  private StoreRequest acquireLeadership(long leaseId) {
    return new StoreRequest.Transaction(
        List.of(new StoreRequest.Condition.Unchanged(keys.leader(), 0)),
        List.of(new StoreRequest.Change.Put(keys.leader(), incarnation, leaseId)));
  }

  void handleMembers(StoreResponse.Success response) {
    members = response;
  }

  /**
   * Determines the step that is due, and ends the round if there is none.
   *
   * @throws AgreementException if a record in the store cannot be decoded
   */
  void handleLiveMembers(
      long nowNanos, AgreementSnapshot snapshot, StoreResponse.Success liveMembers)
      throws AgreementException {
    step = transactions.dueStep(snapshot, members, liveMembers);
    if (step == null) {
      members = null;
      nextRoundNanos = nowNanos + jitter.spreadNanos(timing.renewIntervalNanos() / 2);
    }
  }

  void handleStepCommitted(StoreResponse.Success response) {
    if (response.conditionsHeld()) {
      log.accept("agreement: " + step.description());
    }
    reset();
  }

  /** Ends the round and discards what was read in it. */
  void reset() {
    step = null;
    members = null;
  }
}
