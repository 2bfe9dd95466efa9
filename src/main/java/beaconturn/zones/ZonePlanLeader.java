package beaconturn.zones;

import beaconturn.agreement.AgreementException;
import beaconturn.agreement.Jitter;
import beaconturn.agreement.StoreRequest;
import beaconturn.agreement.StoreResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/** Becomes the leader where there is none, and makes plans while it is. For the member's thread. */
final class ZonePlanLeader {
  /**
   * Time to live of the leader's lease. Short, as nothing moves without a leader; one that has lost
   * its lease can do nothing, as each step has the leadership for a condition.
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

  /** Whether it is the leader, or is about to become it. */
  private boolean active;

  private long checkAtNanos;
  private long leaseId = NO_LEASE;
  private long renewAtNanos;
  private long decideAtNanos;

  /** The next plan that {@link #step} puts in force; null where the step takes the leadership. */
  private ZonePlan nextPlan;

  /** The transaction to make, or null. */
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

  /** When there may be a request again. */
  long nextRequestAtNanos() {
    return active ? Math.min(decideAtNanos, renewAtNanos) : checkAtNanos;
  }

  /** The next request of the leader, or of one that looks whether there is any; null for none. */
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
      return request(ZoneRequestPurpose.TAKE_STEP, step);
    }
    return nowNanos >= decideAtNanos
        ? request(ZoneRequestPurpose.READ_ALL, new StoreRequest.Read(keys.prefix()))
        : null;
  }

  private static PendingZoneRequest request(ZoneRequestPurpose purpose, StoreRequest request) {
    return new PendingZoneRequest(purpose, request);
  }

  void handleLeader(long nowNanos, StoreResponse.Success response) {
    active = response.entries().isEmpty();
    decideAtNanos = nowNanos;
    // Checked often, a leadership that has fallen free is soon taken; the spread keeps routers from
    // checking in step.
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
   * Decides on the next step by all that stands in the store.
   *
   * @throws AgreementException if something there cannot be read
   */
  void handleAll(long nowNanos, StoreResponse.Success response) throws AgreementException {
    ZonesSnapshot snapshot = ZonesSnapshot.of(keys, response);
    decideAtNanos = nowNanos + TICK_NANOS;
    if (snapshot.leader().equals(router)) {
      plan(nowNanos, snapshot);
    } else if (snapshot.leader().isEmpty()) {
      step = takeLeadership(snapshot);
      nextPlan = null;
    } else {
      active = false;
      leaseId = NO_LEASE;
      checkAtNanos = nowNanos + jitter.spreadNanos(2 * TICK_NANOS);
    }
  }

  private StoreRequest takeLeadership(ZonesSnapshot snapshot) {
    return new StoreRequest.Transaction(
        List.of(snapshot.unchanged(keys.leader())),
        List.of(new StoreRequest.Change.Put(keys.leader(), router, leaseId)));
  }

  private void plan(long nowNanos, ZonesSnapshot snapshot) {
    ZonePlan plan = snapshot.plan() == null ? ZonePlan.first(topology) : snapshot.plan();
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

  /** Logs the evidence each time that it has changed. */
  private void logEvidence() {
    String waitReason = planner.waitReason();
    String waits = waitReason.isEmpty() ? "" : "; waits: " + waitReason;
    String evidence = planner.describeEvidence() + waits;
    if (!evidence.equals(loggedEvidence)) {
      log.accept("zones: evidence " + evidence);
      loggedEvidence = evidence;
    }
  }

  /** Whether a new plan is in force by the step. */
  boolean handleStepTaken(StoreResponse.Success response) {
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

  /** Drops a step that got no answer: whether it came about is seen when all is read again. */
  void handleStepFailed() {
    step = null;
  }
}
