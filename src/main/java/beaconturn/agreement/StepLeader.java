package beaconturn.agreement;

import java.util.List;
import java.util.function.Consumer;

/**
 * Takes the open step of a version for all members, on whichever member is the leader, or becomes
 * it where there is none. For the member's thread.
 */
final class StepLeader {
  private final AgreementKeys keys;
  private final AgreementTransactions transactions;
  private final AgreementTiming timing;
  private final Jitter jitter;
  private final String incarnation;
  private final Consumer<String> log;

  /** Before then the next round of reads does not begin. */
  private long nextRoundNanos;

  /** The members' records as read in this round, or null. */
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

  /** Whether this member is the leader, or nobody is. */
  boolean mayLead(AgreementSnapshot snapshot) {
    return snapshot.leader().isEmpty() || snapshot.leader().equals(incarnation);
  }

  /**
   * The leader is gone, which all members see at about the same time: each waits for a random time,
   * since one that takes its place is enough.
   */
  void handleVacancy(long nowNanos) {
    nextRoundNanos = nowNanos + jitter.belowNanos(timing.renewIntervalNanos());
  }

  /** The next request for the open step, or null while there is none. */
  PendingRequest dueRequest(long nowNanos, AgreementSnapshot snapshot, long leaseId) {
    boolean roundUnderWay = step != null || members != null;
    if (!mayLead(snapshot) || (!roundUnderWay && nowNanos < nextRoundNanos)) {
      return null;
    }
    if (snapshot.leader().isEmpty()) {
      return new PendingRequest(RequestPurpose.TAKE_LEADERSHIP, takeLeadership(leaseId));
    }
    if (step != null) {
      return new PendingRequest(RequestPurpose.TAKE_STEP, step.transaction());
    }
    if (members == null) {
      return new PendingRequest(
          RequestPurpose.READ_MEMBERS, new StoreRequest.Read(keys.membersPrefix()));
    }
    return new PendingRequest(
        RequestPurpose.READ_LIVE_MEMBERS, new StoreRequest.Read(keys.liveMembersPrefix()));
  }

  private StoreRequest takeLeadership(long leaseId) {
    return new StoreRequest.Transaction(
        List.of(new StoreRequest.Condition.Unchanged(keys.leader(), 0)),
        List.of(new StoreRequest.Change.Put(keys.leader(), incarnation, leaseId)));
  }

  void handleMembers(StoreResponse.Success response) {
    members = response;
  }

  /**
   * Decides which step is due; while none is, the round is over.
   *
   * @throws AgreementException if a record in the store cannot be read
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

  void handleStepTaken(StoreResponse.Success response) {
    if (response.conditionsHeld()) {
      log.accept("agreement: " + step.description());
    }
    reset();
  }

  /** Ends the round: what it was decided on is to be read anew. */
  void reset() {
    step = null;
    members = null;
  }
}
