package beaconturn.zones;

import beaconturn.agreement.AgreementException;
import beaconturn.agreement.Jitter;
import beaconturn.agreement.StoreRequest;
import beaconturn.agreement.StoreResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * Acquires the leadership if there is no leader, and makes plans as the leader. Confined to the
 * member's thread.
 */
final class ZonePlanLeader {
  /**
   * Time to live of the leader's lease. It is short, as no keys move without a leader. A leader
   * that has lost its lease cannot commit a plan, as each transaction is conditional on the
   * leadership.
   */
  private static final long LEASE_TTL_SECONDS = 2;

  private static final long NO_LEASE = 0;
  private static final long TICK_NANOS = ZoneMember.TICK_NANOS;

  private final ZonesKeys keys;
  private final ZoneTopology topology;
  private final FailoverPlanner planner;
  private final String router;
  private final Jitter jitter;
  private final Consumer<String> log;

  /** Whether this member leads or tries to acquire the leadership. */
  private boolean active;

  private long checkAtNanos;
  private long leaseId = NO_LEASE;
  private long renewAtNanos;
  private long decideAtNanos;

  /** The plan that {@link #step} commits, or null if the step acquires the leadership. */
  private ZonePlan nextPlan;

  /** The transaction to send, or null. */
  private StoreRequest step;

  private String loggedEvidence = "";

  ZonePlanLeader(
      ZonesKeys keys,
      ZoneTopology topology,
      FailoverPlanner planner,
      String router,
      Jitter jitter,
      long startNanos,
      Consumer<String> log) {
    this.keys = keys;
    this.topology = topology;
    this.planner = planner;
    this.router = router;
    this.jitter = jitter;
    this.log = log;
    this.checkAtNanos = startNanos + jitter.spreadNanos(TICK_NANOS);
  }

  boolean hasLease() {
    return leaseId != NO_LEASE;
  }

  StoreRequest revokeRequest() {
    return new StoreRequest.Revoke(leaseId);
  }

  /** Returns when {@link #dueRequest} may return a request again. */
  long nextRequestAtNanos() {
    return active ? Math.min(decideAtNanos, renewAtNanos) : checkAtNanos;
  }

  /**
   * Returns the next request of the leader or of a member that checks for a leader; null if none is
   * due.
   */
  PendingZoneRequest dueRequest(long nowNanos) {
    if (!active) {
      return nowNanos >= checkAtNanos
          ? request(ZoneRequestPurpose.READ_LEADER, new StoreRequest.Read(keys.leader()))
          : null;
    }
    if (!hasLease()) {
      return request(
          ZoneRequestPurpose.GRANT_LEADER_LEASE, new StoreRequest.Grant(LEASE_TTL_SECONDS));
    }
    if (nowNanos >= renewAtNanos) {
      return request(ZoneRequestPurpose.RENEW_LEADER_LEASE, new StoreRequest.KeepAlive(leaseId));
    }
    if (step != null) {
      return request(ZoneRequestPurpose.COMMIT_STEP, step);
    }
    return nowNanos >= decideAtNanos
        ? request(ZoneRequestPurpose.READ_SNAPSHOT, new StoreRequest.Read(keys.prefix()))
        : null;
  }

  private static PendingZoneRequest request(ZoneRequestPurpose purpose, StoreRequest request) {
    return new PendingZoneRequest(purpose, request);
  }

  void handleLeaderRead(long nowNanos, StoreResponse.Success response) {
    active = response.entries().isEmpty();
    decideAtNanos = nowNanos;
    // Frequent checks fill a vacant leadership soon; jitter spreads the checks of all routers.
    checkAtNanos = nowNanos + jitter.spreadNanos(2 * TICK_NANOS);
  }

  void handleLeaseGranted(long sentAtNanos, StoreResponse.Success response) {
    leaseId = response.leaseId();
    renewAtNanos = sentAtNanos + TICK_NANOS;
  }

  void handleLeaseRenewed(long sentAtNanos, StoreResponse.Success response) {
    if (response.leaseTtlSeconds() <= 0) {
      leaseId = NO_LEASE;
    }
    renewAtNanos = sentAtNanos + TICK_NANOS;
  }

  /**
   * Decides on the next step from the state of all zones in the store.
   *
   * @throws AgreementException if an entry of the store is invalid
   */
  void handleSnapshot(long nowNanos, StoreResponse.Success response) throws AgreementException {
    ZonesSnapshot snapshot = ZonesSnapshot.of(keys, response);
    decideAtNanos = nowNanos + TICK_NANOS;
    if (snapshot.leader().equals(router)) {
      plan(nowNanos, snapshot);
    } else if (snapshot.leader().isEmpty()) {
      step = acquireLeadership(snapshot);
      nextPlan = null;
    } else {
      active = false;
      leaseId = NO_LEASE;
      checkAtNanos = nowNanos + jitter.spreadNanos(2 * TICK_NANOS);
    }
  }

  private StoreRequest acquireLeadership(ZonesSnapshot snapshot) {
    return new StoreRequest.Transaction(
        List.of(snapshot.unchanged(keys.leader())),
        List.of(new StoreRequest.Change.Put(keys.leader(), router, leaseId)));
  }

  private void plan(long nowNanos, ZonesSnapshot snapshot) {
    ZonePlan plan = snapshot.plan() == null ? ZonePlan.initial(topology) : snapshot.plan();
    nextPlan = planner.next(plan, snapshot.reports(), snapshot.overrides(), router, nowNanos);
    logEvidence();
    if (nextPlan != null) {
      step = putPlan(snapshot);
    }
  }

  private StoreRequest putPlan(ZonesSnapshot snapshot) {
    List<StoreRequest.Condition> conditions = new ArrayList<>();
    conditions.add(snapshot.unchanged(keys.leader()));
    conditions.add(snapshot.unchanged(keys.plan()));
    topology.zones().forEach(zone -> conditions.add(snapshot.unchanged(keys.override(zone))));
    String text = ZonesCodec.encode(nextPlan);
    return new StoreRequest.Transaction(
        conditions,
        List.of(
            new StoreRequest.Change.Put(keys.plan(), text, NO_LEASE),
            new StoreRequest.Change.Put(keys.pastPlan(nextPlan.number()), text, NO_LEASE)));
  }

  /** Logs the evidence if it has changed. */
  private void logEvidence() {
    String waitReason = planner.waitReason();
    String waits = waitReason.isEmpty() ? "" : "; waits: " + waitReason;
    String evidence = planner.describeEvidence() + waits;
    if (!evidence.equals(loggedEvidence)) {
      log.accept("zones: evidence " + evidence);
      loggedEvidence = evidence;
    }
  }

  /** Returns whether the step put a new plan in force. */
  boolean handleStepResponse(StoreResponse.Success response) {
    boolean planned = response.conditionsHeld() && nextPlan != null;
    if (planned) {
      log.accept("zones: plan " + nextPlan.number() + ": " + nextPlan.reason());
    } else if (response.conditionsHeld()) {
      log.accept("zones: holds the office");
    }
    step = null;
    nextPlan = null;
    return planned;
  }

  /** Drops a step without a known outcome; the next snapshot shows whether it was committed. */
  void handleStepFailed() {
    step = null;
  }
}
