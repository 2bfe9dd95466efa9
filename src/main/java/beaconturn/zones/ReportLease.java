package beaconturn.zones;

import beaconturn.agreement.AgreementTiming;
import beaconturn.agreement.Jitter;
import beaconturn.agreement.StoreRequest;
import beaconturn.agreement.StoreResponse;

/** Holds the store's lease on a router's report. Confined to the member's thread. */
final class ReportLease {
  /**
   * Time for which the store keeps a report after its router's last renewal. A router that is cut
   * off from the store may still serve requests, and a new leader has to know its traffic. Whether
   * a router is silent is derived from the progress of its reports, not from this lease.
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

  /** Returns the send time of the last request that kept the lease alive. */
  long keptAliveAtNanos() {
    return keptAliveAtNanos;
  }

  long renewAtNanos() {
    return renewAtNanos;
  }

  /** Returns the request that obtains or renews the lease, or null if none is due. */
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
