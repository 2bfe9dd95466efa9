package beaconturn.zones;

import beaconturn.agreement.AgreementException;
import beaconturn.agreement.AgreementTiming;
import beaconturn.agreement.Jitter;
import beaconturn.agreement.StoreRequest;
import beaconturn.agreement.StoreResponse;
import java.util.List;

/**
 * Follows the plan in the store: each report that is written while the plan is unchanged extends
 * the lease under which the plan is acted on. For the member's thread.
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
    this.plan = ZonePlan.first(topology);
  }

  ZonePlan plan() {
    return plan;
  }

  /** The end of the lease on the plan; long past where none was ever held. */
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

  /** Writes the report where the plan is unchanged. */
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
   * Takes the plan that was read.
   *
   * @throws AgreementException if it cannot be read, or is older than the one known
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
          "no plan stands there, and plan " + plan.number() + " was known");
    }
  }

  private void requireNotOlder(ZonePlan read) throws AgreementException {
    if (read.number() < plan.number()) {
      throw new AgreementException(
          "plan "
              + read.number()
              + " stands there, and "
              + plan.number()
              + " was known: nobody goes back in time");
    }
  }

  /**
   * The report is written, or the plan has changed. The lease counts from when the earlier of the
   * two requests was sent that it rests on.
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
