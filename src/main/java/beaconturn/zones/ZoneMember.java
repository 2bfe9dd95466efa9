package beaconturn.zones;

import beaconturn.agreement.AgreementException;
import beaconturn.agreement.AgreementTiming;
import beaconturn.agreement.Jitter;
import beaconturn.agreement.StoreRequest;
import beaconturn.agreement.StoreResponse;
import java.util.List;
import java.util.function.Consumer;

/**
 * Takes part in zone failover on behalf of one router: reports the router's observations, follows
 * the plan under a lease, and leads if there is no leader. A state machine without I/O.
 *
 * <p>Confined to one thread, which sends the requests of {@link #nextRequest} and passes each
 * response to {@link #handleResponse}. Only {@link #allocationAt} may be called by any thread. All
 * times are nanoseconds of the router's clock.
 */
public final class ZoneMember {
  private static final long SECOND_NANOS = 1_000_000_000;

  /** Interval between two decisions of the leader. */
  static final long TICK_NANOS = SECOND_NANOS / 4;

  /** The pause doubles with each consecutive failure, up to this many halves of a tick. */
  private static final int MAX_BACKOFF_STEPS = 8;

  /** Renewal intervals without progress after which a router's report is stale. */
  private static final int STALE_RENEWALS = 4;

  /** Length of the window over which observations are compared. */
  private static final long WINDOW_NANOS = 3 * SECOND_NANOS / 2;

  private final ZoneTopology topology;
  private final String homeZone;
  private final String router;
  private final ZoneReportSource reportSource;
  private final Consumer<String> log;
  private final Jitter jitter;
  private final ReportLease reportLease;
  private final ZonePlanFollower follower;
  private final ZonePlanLeader leader;
  private final HomeZoneEvidence homeEvidence;

  /** Purpose of the request in flight, or null. */
  private ZoneRequestPurpose pendingPurpose;

  private long sentAtNanos;
  private long pausedUntilNanos;
  private int consecutiveFailures;
  private long reportSequenceNumber;
  private volatile LeasedAllocation leased;
  private EffectiveAllocation loggedAllocation;

  /**
   * Creates a member that has not sent any request.
   *
   * @param router name and incarnation of the router, separated by a slash
   * @param seed seed of the jitter
   */
  public ZoneMember(
      ZonesKeys keys,
      ZoneTopology topology,
      AgreementTiming timing,
      String homeZone,
      String router,
      long seed,
      long startNanos,
      ZoneReportSource reportSource,
      Consumer<String> log) {
    this.topology = topology;
    this.homeZone = homeZone;
    this.router = router;
    this.reportSource = reportSource;
    this.log = log;
    this.jitter = new Jitter(seed);
    this.reportLease = new ReportLease(timing, jitter, startNanos);
    this.follower = new ZonePlanFollower(keys, topology, timing, router, jitter);
    FailoverPlanner planner = createPlanner(topology, timing);
    this.leader = new ZonePlanLeader(keys, topology, planner, router, jitter, startNanos, log);
    this.homeEvidence = new HomeZoneEvidence(homeZone, WINDOW_NANOS);
    this.leased = leasedAllocation();
    this.loggedAllocation = allocationAt(startNanos);
  }

  private static FailoverPlanner createPlanner(ZoneTopology topology, AgreementTiming timing) {
    return new FailoverPlanner(
        topology,
        FailoverTiming.withDefaults(timing.maxStalenessNanos()),
        WINDOW_NANOS,
        STALE_RENEWALS * timing.renewIntervalNanos(),
        ReportLease.MIN_TTL_SECONDS * SECOND_NANOS / 2);
  }

  /**
   * Returns the allocation to apply at the given time. Any thread may call this, also after a long
   * pause of the process: the end of the lease is taken into account.
   */
  public EffectiveAllocation allocationAt(long nowNanos) {
    return leased.at(nowNanos);
  }

  private LeasedAllocation leasedAllocation() {
    ZonePlan plan = follower.plan();
    EffectiveAllocation planned =
        new EffectiveAllocation(plan.allocationOf(homeZone), true, "plan " + plan.number());
    return new LeasedAllocation(follower.leaseEndNanos(), planned, allocationWithoutLease());
  }

  private EffectiveAllocation allocationWithoutLease() {
    if (homeEvidence.isUnhealthy()) {
      return new EffectiveAllocation(
          ZonePlan.withoutLease(topology, homeZone),
          false,
          "its own evidence: its place is bad, no lease");
    }
    return new EffectiveAllocation(
        ZonePlan.homeWithTrial(topology, homeZone), false, "no lease: near");
  }

  /**
   * Re-evaluates the router's own evidence and the lease on the plan. To be called before each
   * request and at regular intervals.
   */
  public void refresh(long nowNanos) {
    if (homeEvidence.isWindowOver(nowNanos)) {
      boolean hasLease = nowNanos < follower.leaseEndNanos();
      long planNumber = hasLease ? follower.plan().number() : 0;
      homeEvidence.endWindow(
          reportSource.report(router, reportSequenceNumber, planNumber), nowNanos);
    }
    leased = leasedAllocation();
    EffectiveAllocation current = allocationAt(nowNanos);
    if (!current.equals(loggedAllocation)) {
      log.accept(
          "zones: sends by " + current.description() + ", " + current.allocation().weights());
    }
    loggedAllocation = current;
  }

  /**
   * Returns the next request to the store, or null if none is due before {@link
   * #nextRequestAtNanos} or a request is in flight.
   */
  public StoreRequest nextRequest(long nowNanos) {
    if (pendingPurpose != null || nowNanos < pausedUntilNanos) {
      return null;
    }
    sentAtNanos = nowNanos;
    PendingZoneRequest due = dueRequest(nowNanos);
    if (due == null) {
      return null;
    }
    pendingPurpose = due.purpose();
    return due.request();
  }

  private PendingZoneRequest dueRequest(long nowNanos) {
    PendingZoneRequest leaseRequest = reportLease.dueRequest(nowNanos);
    if (leaseRequest != null) {
      return leaseRequest;
    }
    if (follower.isOutdated()) {
      return follower.readRequest();
    }
    if (nowNanos >= follower.reportAtNanos()) {
      reportSequenceNumber++;
      ZoneReport report =
          reportSource.report(router, reportSequenceNumber, follower.plan().number());
      return follower.reportRequest(report, reportLease.id());
    }
    return leader.dueRequest(nowNanos);
  }

  /** Returns when {@link #nextRequest} may return a request again. */
  public long nextRequestAtNanos() {
    long atNanos = Math.min(reportLease.renewAtNanos(), follower.reportAtNanos());
    return Math.max(pausedUntilNanos, Math.min(atNanos, leader.nextRequestAtNanos()));
  }

  /** Handles the response to the request in flight, received at {@code nowNanos}. */
  public void handleResponse(long nowNanos, StoreResponse response) {
    ZoneRequestPurpose purpose = pendingPurpose;
    pendingPurpose = null;
    if (response instanceof StoreResponse.Success success) {
      consecutiveFailures = 0;
      try {
        handleSuccess(nowNanos, purpose, success);
      } catch (AgreementException e) {
        handleFailure(nowNanos, purpose, e.getMessage());
      }
    } else {
      handleFailure(nowNanos, purpose, ((StoreResponse.RequestFailed) response).reason());
    }
    refresh(nowNanos);
  }

  private void handleSuccess(
      long nowNanos, ZoneRequestPurpose purpose, StoreResponse.Success response)
      throws AgreementException {
    switch (purpose) {
      case GRANT_LEASE -> reportLease.handleGranted(sentAtNanos, response);
      case RENEW_LEASE -> reportLease.handleRenewed(sentAtNanos, response);
      case READ_PLAN -> follower.handleRead(response);
      case REPORT -> follower.handleReported(sentAtNanos, reportLease.keptAliveAtNanos(), response);
      case READ_LEADER -> leader.handleLeaderRead(nowNanos, response);
      case GRANT_LEADER_LEASE -> leader.handleLeaseGranted(sentAtNanos, response);
      case RENEW_LEADER_LEASE -> leader.handleLeaseRenewed(sentAtNanos, response);
      case READ_SNAPSHOT -> leader.handleSnapshot(nowNanos, response);
      case COMMIT_STEP -> {
        if (leader.handleStepResponse(response)) {
          follower.invalidate();
        }
      }
      default -> throw new IllegalStateException("unexpected request purpose: " + purpose);
    }
  }

  private void handleFailure(long nowNanos, ZoneRequestPurpose purpose, String reason) {
    consecutiveFailures++;
    if (consecutiveFailures == 1) {
      log.accept("zones: the store does not answer (" + purpose + "): " + reason);
    }
    if (purpose == ZoneRequestPurpose.COMMIT_STEP) {
      leader.handleStepFailed();
    }
    int doublings = Math.min(consecutiveFailures, MAX_BACKOFF_STEPS);
    long steps = Math.min(MAX_BACKOFF_STEPS, 1L << doublings);
    pausedUntilNanos = nowNanos + jitter.spreadNanos(TICK_NANOS * steps / 2);
  }

  /** Returns the requests to send on shutdown, in this order. */
  public List<StoreRequest> leave() {
    if (!reportLease.isHeld()) {
      return List.of();
    }
    StoreRequest revokeReport = new StoreRequest.Revoke(reportLease.id());
    return leader.hasLease()
        ? List.of(leader.revokeRequest(), revokeReport)
        : List.of(revokeReport);
  }
}
