package beaconturn.zones;

import beaconturn.agreement.AgreementException;
import beaconturn.agreement.AgreementTiming;
import beaconturn.agreement.Jitter;
import beaconturn.agreement.StoreRequest;
import beaconturn.agreement.StoreResponse;
import java.util.List;

/**
 * Follows the plan in the store. Each report that is written while the plan is unchanged extends
 * the lease on the plan. Confined to the member's thread.
 */
final class ZonePlanFollower {
  private final ZonesKeys keys;
  private final String router;
  private final AgreementTiming timing;
  private final Jitter jitter;
  private ZonePlan plan;
  private long planModRevision;
  private boolean outdated = true;
  private long leaseEndNanos = Long.MIN_VALUE;
  private long reportAtNanos;

  ZonePlanFollower(
      ZonesKeys keys, ZoneTopology topology, AgreementTiming timing, String router, Jitter jitter) {
    this.keys = keys;
    this.router = router;
    this.timing = timing;
    this.jitter = jitter;
    this.plan = ZonePlan.initial(topology);
  }

  ZonePlan plan() {
    return plan;
  }

  /** Returns the end of the lease on the plan; {@link Long#MIN_VALUE} if none was ever held. */
  long leaseEndNanos() {
    return leaseEndNanos;
  }

  boolean isOutdated() {
    return outdated;
  }

  void invalidate() {
    outdated = true;
  }

  long reportAtNanos() {
    return reportAtNanos;
  }

  PendingZoneRequest readRequest() {
    return new PendingZoneRequest(ZoneRequestPurpose.READ_PLAN, new StoreRequest.Read(keys.plan()));
  }

  /** Returns the request that writes the report if the plan is unchanged. */
  PendingZoneRequest reportRequest(ZoneReport report, long leaseId) {
    StoreRequest.Change put =
        new StoreRequest.Change.Put(keys.report(router), ZonesCodec.encode(report), leaseId);
    StoreRequest.Condition planUnchanged =
        new StoreRequest.Condition.Unchanged(keys.plan(), planModRevision);
    return new PendingZoneRequest(
        ZoneRequestPurpose.REPORT,
        new StoreRequest.Transaction(List.of(planUnchanged), List.of(put)));
  }

  /**
   * Adopts the plan that was read.
   *
   * @throws AgreementException if the plan is invalid, or missing or older than the last one read
   */
  void handleRead(StoreResponse.Success response) throws AgreementException {
    StoreResponse.Entry entry =
        response.entries().stream()
            .filter(candidate -> candidate.key().equals(keys.plan()))
            .findFirst()
            .orElse(null);
    if (entry == null) {
      requireNoPlanKnown();
      planModRevision = 0;
    } else {
      ZonePlan read = ZonesCodec.decodePlan(entry.value());
      requireNotOlder(read);
      plan = read;
      planModRevision = entry.modRevision();
    }
    outdated = false;
  }

  private void requireNoPlanKnown() throws AgreementException {
    if (plan.number() > 0) {
      throw new AgreementException(
          "the store holds no plan, but plan " + plan.number() + " was read before");
    }
  }

  private void requireNotOlder(ZonePlan read) throws AgreementException {
    if (read.number() < plan.number()) {
      throw new AgreementException(
          "the store holds plan "
              + read.number()
              + ", which is older than plan "
              + plan.number()
              + " read before");
    }
  }

  /**
   * Extends the lease if the report was written, else marks the plan as outdated. The lease counts
   * from the send time of the report or of the last lease renewal, whichever is earlier.
   */
  void handleReported(
      long sentAtNanos, long leaseKeptAliveAtNanos, StoreResponse.Success response) {
    if (response.conditionsHeld()) {
      leaseEndNanos = Math.min(sentAtNanos, leaseKeptAliveAtNanos) + timing.leaseNanos();
      reportAtNanos = sentAtNanos + jitter.spreadNanos(timing.renewIntervalNanos() / 2);
    } else {
      outdated = true;
    }
  }
}
