package beaconturn.zones;

import beaconturn.agreement.AgreementException;
import beaconturn.agreement.AgreementTiming;
import beaconturn.agreement.Jitter;
import beaconturn.agreement.StoreRequest;
import beaconturn.agreement.StoreResponse;
import java.util.List;
import java.util.function.Consumer;

/**
 * One router's member of the zones: a state machine without I/O that reports what the router sees,
 * follows the plan on a lease, and is the leader where nobody is.
 *
 * <p>For one thread, which asks {@link #nextRequest} for the request to make and brings its
 * response to {@link #handleResponse}; {@link #allocationAt} may be called by any. All times are
 * nanoseconds of the router's clock.
 */
public final class ZoneMember {
  private static final long SECOND_NANOS = 1_000_000_000;

  /** From one decision of the leader to the next. */
  static final long TICK_NANOS = SECOND_NANOS / 4;

  /** The pause after failures doubles with each, up to this many times the first. */
  private static final int MAX_BACKOFF_STEPS = 8;

  /** A router whose report has not grown for so many renewals is not heard. */
  private static final int STALE_RENEWALS = 4;

  /** Evidence is compared over so long. */
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
  private final HomeZoneEvidence ownEvidence;

  /** What the request that is out is for, or null. */
  private ZoneRequestPurpose outstanding;

  private long sentAtNanos;
  private long pausedUntilNanos;
  private int failuresInSequence;
  private long reportSequenceNumber;
  private volatile LeasedAllocation leased;

  /** The allocation that was logged last. */
  private EffectiveAllocation loggedAllocation;

  /**
   * A member in a zone.
   *
   * @param router name and incarnation with a slash between
   * @param seed of the random spread of times
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
    FailoverPlanner planner = planner(topology, timing);
    this.leader = new ZonePlanLeader(keys, topology, planner, router, jitter, startNanos, log);
    this.ownEvidence = new HomeZoneEvidence(homeZone, WINDOW_NANOS);
    this.leased = leasedAllocation();
    this.loggedAllocation = allocationAt(startNanos);
  }

  private static FailoverPlanner planner(ZoneTopology topology, AgreementTiming timing) {
    return new FailoverPlanner(
        topology,
        FailoverTiming.usual(timing.statedNanos()),
        WINDOW_NANOS,
        STALE_RENEWALS * timing.renewIntervalNanos(),
        ReportLease.MIN_TTL_SECONDS * SECOND_NANOS / 2);
  }

  /**
   * The allocation to send by at a time of the router's clock; any thread may ask, also one that
   * stood still for long.
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
    if (ownEvidence.isBad()) {
      return new EffectiveAllocation(
          ZonePlan.withoutLease(topology, homeZone),
          false,
          "its own evidence: its place is bad, no lease");
    }
    return new EffectiveAllocation(ZonePlan.nearWithTrial(topology, homeZone), false, "no lease: near");
  }

  /**
   * Looks at the router's own evidence and at the lease; to be called before each request and now
   * and then.
   */
  public void refresh(long nowNanos) {
    if (ownEvidence.isWindowOver(nowNanos)) {
      boolean hasLease = nowNanos < follower.leaseEndNanos();
      long planNumber = hasLease ? follower.plan().number() : 0;
      ownEvidence.endWindow(
          reportSource.report(router, reportSequenceNumber, planNumber), nowNanos);
    }
    leased = leasedAllocation();
    EffectiveAllocation due = allocationAt(nowNanos);
    if (!due.equals(loggedAllocation)) {
      log.accept("zones: sends by " + due.description() + ", " + due.allocation().weights());
    }
    loggedAllocation = due;
  }

  /**
   * The request to make now, or null while there is none before {@link #nextRequestAtNanos}. Only
   * one is out at a time.
   */
  public StoreRequest nextRequest(long nowNanos) {
    if (outstanding != null || nowNanos < pausedUntilNanos) {
      return null;
    }
    sentAtNanos = nowNanos;
    PendingZoneRequest due = dueRequest(nowNanos);
    if (due == null) {
      return null;
    }
    outstanding = due.purpose();
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

  /** When {@link #nextRequest} may have a request again. */
  public long nextRequestAtNanos() {
    long atNanos = Math.min(reportLease.renewAtNanos(), follower.reportAtNanos());
    return Math.max(pausedUntilNanos, Math.min(atNanos, leader.nextRequestAtNanos()));
  }

  /** Takes the response to the request that was out; {@code nowNanos} is when it came. */
  public void handleResponse(long nowNanos, StoreResponse response) {
    ZoneRequestPurpose purpose = outstanding;
    outstanding = null;
    if (response instanceof StoreResponse.Success success) {
      failuresInSequence = 0;
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
      case READ_LEADER -> leader.handleLeader(nowNanos, response);
      case GRANT_LEADER_LEASE -> leader.handleLeaseGranted(sentAtNanos, response);
      case RENEW_LEADER_LEASE -> leader.handleLeaseRenewed(sentAtNanos, response);
      case READ_ALL -> leader.handleAll(nowNanos, response);
      case TAKE_STEP -> {
        if (leader.handleStepTaken(response)) {
          follower.invalidate();
        }
      }
      default -> throw new IllegalStateException("no such purpose: " + purpose);
    }
  }

  private void handleFailure(long nowNanos, ZoneRequestPurpose purpose, String reason) {
    failuresInSequence++;
    if (failuresInSequence == 1) {
      log.accept("zones: the store does not answer (" + purpose + "): " + reason);
    }
    if (purpose == ZoneRequestPurpose.TAKE_STEP) {
      leader.handleStepFailed();
    }
    int doublings = Math.min(failuresInSequence, MAX_BACKOFF_STEPS);
    long steps = Math.min(MAX_BACKOFF_STEPS, 1L << doublings);
    pausedUntilNanos = nowNanos + jitter.spreadNanos(TICK_NANOS * steps / 2);
  }

  /** The last requests at a planned end, in their order. */
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
