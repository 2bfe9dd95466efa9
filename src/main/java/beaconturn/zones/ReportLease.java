package beaconturn.zones;

import beaconturn.agreement.AgreementTiming;
import beaconturn.agreement.Jitter;
import beaconturn.agreement.StoreRequest;
import beaconturn.agreement.StoreResponse;

/** The store's lease on a router's report. For the member's thread. */
final class ReportLease {
  /**
   * A report stays in the store for so long after the last word of its router, which may serve on
   * without the store: a new leader then has to know of it. Who is heard is told by reports that
   * grow.
   */
  static final long MIN_TTL_SECONDS = 60;

  private static final long NONE = 0;

  private final AgreementTiming timing;
  private final Jitter jitter;
  private long id = NONE;
  private long keptAliveAtNanos;
  private long renewAtNanos;

  ReportLease(AgreementTiming timing, Jitter jitter, long startNanos) {
    this.timing = timing;
    this.jitter = jitter;
    this.renewAtNanos = startNanos;
  }

  boolean isHeld() {
    return id != NONE;
  }

  long id() {
    return id;
  }

  /** When the request was sent that last kept the lease alive. */
  long keptAliveAtNanos() {
    return keptAliveAtNanos;
  }

  long renewAtNanos() {
    return renewAtNanos;
  }

  /** The request that gets or renews the lease, or null while none is due. */
  PendingZoneRequest dueRequest(long nowNanos) {
    if (!isHeld()) {
      long ttlSeconds = Math.max(MIN_TTL_SECONDS, timing.storeLeaseSeconds());
      return new PendingZoneRequest(
          ZoneRequestPurpose.GRANT_LEASE, new StoreRequest.Grant(ttlSeconds));
    }
    return nowNanos >= renewAtNanos
        ? new PendingZoneRequest(ZoneRequestPurpose.RENEW_LEASE, new StoreRequest.KeepAlive(id))
        : null;
  }

  void handleGranted(long sentAtNanos, StoreResponse.Success response) {
    id = response.leaseId();
    keptAliveAtNanos = sentAtNanos;
    scheduleRenewal(sentAtNanos);
  }

  void handleRenewed(long sentAtNanos, StoreResponse.Success response) {
    if (response.leaseTtlSeconds() > 0) {
      keptAliveAtNanos = sentAtNanos;
    } else {
      id = NONE;
    }
    scheduleRenewal(sentAtNanos);
  }

  private void scheduleRenewal(long sentAtNanos) {
    renewAtNanos = sentAtNanos + jitter.spreadNanos(timing.renewIntervalNanos());
  }
}
