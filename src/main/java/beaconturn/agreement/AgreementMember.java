package beaconturn.agreement;

import java.util.List;
import java.util.function.Consumer;

/**
 * State machine of one router's membership in the agreement. It sends one store request at a time,
 * acks or nacks proposed versions, follows the version in force, and derives the effective
 * configuration of the router.
 *
 * <p>Performs no I/O. Not thread-safe: the driving thread sends the request that {@link
 * #nextRequest} returns and passes the response to {@link #handleResponse}. All times are
 * nanoseconds of that thread's clock.
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

  /** Purpose of the request in flight, or null if there is none. */
  private RequestPurpose purposeInFlight;

  private long sentAtNanos;

  /**
   * Creates a member that has not joined yet.
   *
   * @param localContent the router's own configuration, with every field set
   * @param persisted the state that the previous process of this router persisted
   * @param seed seed of the jitter
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
   * Returns the request to send now, or null if none is due before {@link #nextRequestAtNanos} or a
   * request is in flight.
   */
  public StoreRequest nextRequest(long nowNanos) {
    if (purposeInFlight != null || nowNanos < backoff.pausedUntilNanos()) {
      return null;
    }
    sentAtNanos = nowNanos;
    PendingRequest due = dueRequest(nowNanos);
    if (due == null) {
      return null;
    }
    purposeInFlight = due.purpose();
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

  /** Returns when to call {@link #nextRequest} again. */
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

  /** Handles the response to the request in flight, received at {@code nowNanos}. */
  public void handleResponse(long nowNanos, StoreResponse response) {
    RequestPurpose purpose = purposeInFlight;
    purposeInFlight = null;
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
      case READ_ROUTER_RECORDS -> registration.handleRouterRecords(response);
      case JOIN -> handleJoin(response);
      case UPDATE_RECORD -> handleRecordUpdate(response);
      case READ_MEMBERS -> stepLeader.handleMembers(response);
      case READ_LIVE_MEMBERS ->
          stepLeader.handleLiveMembers(nowNanos, tracker.snapshot(), response);
      case ACQUIRE_LEADERSHIP -> tracker.invalidate();
      case COMMIT_STEP -> {
        stepLeader.handleStepCommitted(response);
        tracker.invalidate();
      }
      default -> throw new IllegalStateException("unhandled request purpose: " + purpose);
    }
  }

  private void handleFailure(long nowNanos, RequestPurpose purpose, String reason) {
    if (purpose.belongsToStep()) {
      stepLeader.reset();
      tracker.invalidate();
    }
    if (purpose == RequestPurpose.JOIN) {
      // The transaction may have been committed. The next read shows it, and a join is idempotent.
      registration.forgetRouterRecords();
    }
    backoff.countFailure(reason);
    if (!tracker.hasSnapshot() && !follower.hasBasis() && follower.persisted().joined()) {
      // The store cannot confirm that the previous process's record still exists. It exists unless
      // an operator declared the router lost, and such a router must not be started without a
      // store.
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
    registration.forgetRouterRecords();
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
    boolean lackedLeader = tracker.hasSnapshot() && tracker.snapshot().lacksLeader();
    tracker.handleRead(read, sentAtNanos);
    if (read.agreementId().isEmpty()) {
      return;
    }
    if (read.lacksLeader() && !lackedLeader) {
      stepLeader.handleLeaderLost(nowNanos);
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
    registration.forgetRouterRecords();
    tracker.invalidate();
    if (response.conditionsHeld()) {
      registration.handleJoined();
      follower.handleJoined();
      publishEffectiveConfig();
      log.accept("agreement: joined as " + identity.name() + "/" + identity.incarnation());
    }
  }

  private void handleRecordUpdate(StoreResponse.Success response) {
    follower.markRecordCurrent();
    if (!response.conditionsHeld()) {
      log.accept("agreement: an operator declared this router lost; joins again");
      registration.leave();
      follower.handleDeclaredLost();
      versionLease.drop();
      publishEffectiveConfig();
    }
  }

  /** Notifies the router of the configuration that applies now and after its lease expires. */
  private void publishEffectiveConfig() {
    callbacks.effectiveConfigChanged(follower.effectiveConfig(versionLease.endNanos()));
  }

  /**
   * Returns the request that publishes the router's endpoint view, or null if the view is already
   * published, the member has not joined or its store requests are failing. The request may be in
   * flight at the same time as a request of {@link #nextRequest}, as no agreement step depends on
   * the view.
   */
  public StoreRequest nextViewRequest(EndpointView view) {
    boolean possible =
        registration.isJoined() && storeLease.id() != StoreLease.NONE && !backoff.hasFailures();
    return possible && !viewPublisher.isPublished(view, storeLease.id())
        ? viewPublisher.request(view, storeLease.id())
        : null;
  }

  /** Handles the response to the request of {@link #nextViewRequest}. */
  public void handleViewResponse(EndpointView view, StoreResponse response) {
    viewPublisher.handleResponse(view, storeLease.id(), response);
  }

  /**
   * Whether the member has learned which configuration it may act on, or at least one store request
   * has failed.
   */
  public boolean hasAskedStore() {
    return follower.hasBasis() || backoff.hasFailures();
  }

  /**
   * Returns the final requests of a planned shutdown, to be sent in this order. Once the record is
   * deleted, versions come into force without this member's ack, so the member first persists that
   * a later process must not start on its persisted configuration.
   */
  public List<StoreRequest> leave() {
    if (!registration.isJoined()) {
      return List.of();
    }
    follower.persistJoined(false);
    return List.of(registration.removeRequest(), new StoreRequest.Revoke(storeLease.id()));
  }
}
