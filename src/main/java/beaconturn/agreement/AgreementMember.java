package beaconturn.agreement;

import java.util.List;
import java.util.function.Consumer;

/**
 * One router's member of the agreement: a state machine without I/O that asks the store one thing
 * at a time, acks or nacks what is proposed, follows the version in force, and knows at any time
 * what may be acted on.
 *
 * <p>For one thread, which asks {@link #nextRequest} for the request to make and brings its
 * response to {@link #handleResponse}. All times are nanoseconds of that thread's clock.
 */
public final class AgreementMember {
  private final AgreementKeys keys;
  private final MemberIdentity identity;
  private final AgreementCallbacks callbacks;
  private final Consumer<String> log;
  private final StoreLease storeLease;
  private final StoreBackoff backoff;
  private final SnapshotTracker tracker;
  private final MemberRegistration registration;
  private final VersionFollower follower;
  private final VersionLease versionLease;
  private final StepLeader stepLeader;
  private final EndpointViewPublisher viewPublisher;

  /** What the request that is out is for, or null. */
  private RequestPurpose outstanding;

  private long sentAtNanos;

  /**
   * A member that begins with what was persisted by the process before it.
   *
   * @param localContent the router's own configuration, with every field set
   * @param seed of the random spread of times
   */
  public AgreementMember(
      AgreementKeys keys,
      AgreementTiming timing,
      MemberIdentity identity,
      ConfigContent localContent,
      PersistedConfig persisted,
      long seed,
      long nowNanos,
      AgreementCallbacks callbacks,
      Consumer<String> log) {
    Jitter jitter = new Jitter(seed);
    this.keys = keys;
    this.identity = identity;
    this.callbacks = callbacks;
    this.log = log;
    this.storeLease = new StoreLease(timing, jitter, nowNanos);
    this.backoff = new StoreBackoff(timing, jitter, log);
    this.tracker = new SnapshotTracker(keys, timing, jitter, nowNanos);
    this.registration = new MemberRegistration(keys, identity);
    this.follower = new VersionFollower(identity, localContent, persisted, callbacks, log);
    this.versionLease = new VersionLease(keys, timing, jitter);
    this.stepLeader = new StepLeader(keys, timing, jitter, identity.incarnation(), log);
    this.viewPublisher = new EndpointViewPublisher(keys, identity);
    logStart(persisted);
    publishEffectiveConfig();
  }

  private void logStart(PersistedConfig persisted) {
    String basis = "strict ground, nothing is kept";
    if (persisted.joined()) {
      basis =
          "what was kept, version "
              + persisted.actingVersion().number()
              + ", if the store is out of reach";
    }
    log.accept("agreement: starts on " + basis + "; repeats nothing until it has agreed");
  }

  /**
   * The request to make now, or null while there is none before {@link #nextRequestAtNanos}. Only
   * one is out at a time.
   */
  public StoreRequest nextRequest(long nowNanos) {
    if (outstanding != null || nowNanos < backoff.pausedUntilNanos()) {
      return null;
    }
    sentAtNanos = nowNanos;
    PendingRequest due = dueRequest(nowNanos);
    if (due == null) {
      return null;
    }
    outstanding = due.purpose();
    return due.request();
  }

  private PendingRequest dueRequest(long nowNanos) {
    PendingRequest leaseRequest = storeLease.dueRequest(nowNanos);
    if (leaseRequest != null) {
      return leaseRequest;
    }
    PendingRequest read = tracker.dueRequest(nowNanos);
    if (read != null) {
      return read;
    }
    AgreementSnapshot snapshot = tracker.snapshot();
    if (snapshot.agreementId().isEmpty()) {
      return null;
    }
    if (!registration.isJoined()) {
      return registration.joinRequest(snapshot, follower.memberRecord(), storeLease.id());
    }
    if (follower.isRecordOutdated()) {
      return registration.updateRequest(follower.memberRecord());
    }
    PendingRequest confirmation = versionLease.dueRequest(nowNanos, snapshot);
    if (confirmation != null) {
      return confirmation;
    }
    return snapshot.hasOpenStep()
        ? stepLeader.dueRequest(nowNanos, snapshot, storeLease.id())
        : null;
  }

  /** When to ask for the next request, by the clock that {@link #nextRequest} is given. */
  public long nextRequestAtNanos() {
    long atNanos = Math.min(tracker.pollAtNanos(), storeLease.renewAtNanos());
    if (registration.isJoined()) {
      atNanos = Math.min(atNanos, versionLease.confirmAtNanos());
      AgreementSnapshot snapshot = tracker.snapshot();
      if (snapshot.hasOpenStep() && stepLeader.mayLead(snapshot)) {
        atNanos = Math.min(atNanos, stepLeader.nextRoundNanos());
      }
    }
    return Math.max(backoff.pausedUntilNanos(), atNanos);
  }

  /** Takes the response to the request that was out; {@code nowNanos} is when it came. */
  public void handleResponse(long nowNanos, StoreResponse response) {
    RequestPurpose purpose = outstanding;
    outstanding = null;
    if (!(response instanceof StoreResponse.Success success)) {
      handleFailure(nowNanos, purpose, ((StoreResponse.RequestFailed) response).reason());
      return;
    }
    String fault = StoreContinuity.faultOf(success, follower.persisted());
    if (fault != null) {
      handleFailure(nowNanos, purpose, fault);
      return;
    }
    try {
      handleSuccess(nowNanos, purpose, success);
    } catch (AgreementException e) {
      handleFailure(nowNanos, purpose, e.getMessage());
    }
  }

  private void handleSuccess(long nowNanos, RequestPurpose purpose, StoreResponse.Success response)
      throws AgreementException {
    switch (purpose) {
      case GRANT_LEASE -> storeLease.handleGranted(sentAtNanos, response);
      case RENEW_LEASE -> handleRenewed(response);
      case READ_COMMON -> handleRead(nowNanos, response);
      case CONFIRM_VERSIONS -> handleConfirmation(response);
      case READ_NAMESAKES -> registration.handleNamesakes(response);
      case JOIN -> handleJoin(response);
      case UPDATE_RECORD -> handleRecordUpdate(response);
      case READ_MEMBERS -> stepLeader.handleMembers(response);
      case READ_LIVE_MEMBERS ->
          stepLeader.handleLiveMembers(nowNanos, tracker.snapshot(), response);
      case TAKE_LEADERSHIP -> tracker.invalidate();
      case TAKE_STEP -> {
        stepLeader.handleStepTaken(response);
        tracker.invalidate();
      }
      default -> throw new IllegalStateException("no such purpose: " + purpose);
    }
  }

  private void handleFailure(long nowNanos, RequestPurpose purpose, String reason) {
    if (purpose.belongsToStep()) {
      stepLeader.reset();
      tracker.invalidate();
    }
    if (purpose == RequestPurpose.JOIN) {
      // It may have come about: what is read next tells, and joining twice is joining once.
      registration.forgetNamesakes();
    }
    backoff.countFailure(reason);
    if (!tracker.hasSnapshot() && !follower.hasBasis() && follower.persisted().joined()) {
      // Nobody to ask whether the record of the process before still stands; it does unless an
      // operator has declared that router lost, who then must not start it without a store.
      follower.actOnPersisted();
      publishEffectiveConfig();
    }
    backoff.pauseFrom(nowNanos);
  }

  private void handleRenewed(StoreResponse.Success response) {
    if (storeLease.handleRenewed(sentAtNanos, response)) {
      return;
    }
    log.accept("agreement: the lease had ended at the store, joins anew");
    registration.leave();
    registration.forgetNamesakes();
    versionLease.drop();
    publishEffectiveConfig();
  }

  private void handleRead(long nowNanos, StoreResponse.Success response) throws AgreementException {
    AgreementSnapshot read = AgreementSnapshot.of(keys, response);
    String fault = StoreContinuity.faultOf(read, follower.persisted());
    if (fault != null) {
      throw new AgreementException(fault);
    }
    backoff.reset();
    boolean wasVacant = tracker.hasSnapshot() && tracker.snapshot().lacksLeader();
    tracker.handleRead(read, sentAtNanos);
    if (read.agreementId().isEmpty()) {
      return;
    }
    if (read.lacksLeader() && !wasVacant) {
      stepLeader.handleVacancy(nowNanos);
    }
    follower.follow(read, registration.isJoined());
    if (registration.isJoined()) {
      follower.actOnPersisted();
      versionLease.confirmAt(nowNanos);
      publishEffectiveConfig();
    }
  }

  private void handleConfirmation(StoreResponse.Success response) throws AgreementException {
    if (response.conditionsHeld()) {
      versionLease.handleConfirmed(sentAtNanos, storeLease.keptAliveAtNanos());
      publishEffectiveConfig();
      return;
    }
    tracker.invalidate();
    if (!versionLease.handleRefuted()) {
      throw new AgreementException(
          "it answers reads with what is no longer so: a member that lags");
    }
  }

  private void handleJoin(StoreResponse.Success response) {
    registration.forgetNamesakes();
    tracker.invalidate();
    if (response.conditionsHeld()) {
      registration.handleJoined();
      follower.handleJoined();
      publishEffectiveConfig();
      log.accept("agreement: joined as " + identity.name() + "/" + identity.incarnation());
    }
  }

  private void handleRecordUpdate(StoreResponse.Success response) {
    follower.recordIsCurrent();
    if (!response.conditionsHeld()) {
      log.accept("agreement: was declared lost, joins anew");
      registration.leave();
      follower.handleDeclaredLost();
      versionLease.drop();
      publishEffectiveConfig();
    }
  }

  /** Tells the router what it may act on, now and once its lease is over. */
  private void publishEffectiveConfig() {
    callbacks.effectiveConfigChanged(follower.effectiveConfig(versionLease.endNanos()));
  }

  /**
   * The request that publishes what this router makes of its cache servers; null where that stands
   * in the store, or no lease is held, or the store has other things to mend. It is made beside
   * {@link #nextRequest}: nothing that is agreed on depends on it.
   */
  public StoreRequest nextViewRequest(EndpointView view) {
    boolean possible =
        registration.isJoined() && storeLease.id() != StoreLease.NONE && !backoff.hasFailures();
    return possible && !viewPublisher.isPublished(view, storeLease.id())
        ? viewPublisher.request(view, storeLease.id())
        : null;
  }

  /** Takes the response to the request of {@link #nextViewRequest}. */
  public void handleViewResponse(EndpointView view, StoreResponse response) {
    viewPublisher.handleResponse(view, storeLease.id(), response);
  }

  /** Whether the store has told what may be acted on, or has failed to at least once. */
  public boolean hasAskedStore() {
    return follower.hasBasis() || backoff.hasFailures();
  }

  /**
   * The last requests at a planned end, in their order; no response is waited for long. Once the
   * record is gone others move on without this member's ack: what it has persisted is nothing to
   * start on, which is persisted first.
   */
  public List<StoreRequest> leave() {
    if (!registration.isJoined()) {
      return List.of();
    }
    follower.persistJoined(false);
    return List.of(registration.removeRequest(), new StoreRequest.Revoke(storeLease.id()));
  }
}
