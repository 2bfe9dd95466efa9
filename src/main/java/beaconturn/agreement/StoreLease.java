package beaconturn.agreement;

/** Tracks the member's lease at the store and its renewals. Confined to the member's thread. */
final class StoreLease {
  /** Id that stands for no lease. */
  static final long NONE = 0;

  private final AgreementTiming timing;
  private final Jitter jitter;
  private long id = NONE;

  /** When the last successful grant or keep-alive was sent. */
  private long keptAliveAtNanos;

  private long renewAtNanos;

  StoreLease(AgreementTiming timing, Jitter jitter, long nowNanos) {
    this.timing = timing;
    this.jitter = jitter;
    this.renewAtNanos = nowNanos;
  }

  long id() {
    return id;
  }

  long keptAliveAtNanos() {
    return keptAliveAtNanos;
  }

  long renewAtNanos() {
    return renewAtNanos;
  }

  /** Returns the request that grants or renews the lease, or null while none is due. */
  PendingRequest dueRequest(long nowNanos) {
    if (id == NONE) {
      return new PendingRequest(
          RequestPurpose.GRANT_LEASE, new StoreRequest.Grant(timing.storeLeaseSeconds()));
    }
    return nowNanos >= renewAtNanos
        ? new PendingRequest(RequestPurpose.RENEW_LEASE, new StoreRequest.KeepAlive(id))
        : null;
  }

  void handleGranted(long sentAtNanos, StoreResponse.Success response) {
    id = response.leaseId();
    scheduleRenewal(sentAtNanos);
  }

  /** Returns whether the lease is still alive; if not, a new one is requested next. */
  boolean handleRenewed(long sentAtNanos, StoreResponse.Success response) {
    if (response.leaseTtlSeconds() <= 0) {
      id = NONE;
      return false;
    }
    scheduleRenewal(sentAtNanos);
    return true;
  }

  private void scheduleRenewal(long sentAtNanos) {
    keptAliveAtNanos = sentAtNanos;
    renewAtNanos = sentAtNanos + jitter.spreadNanos(timing.renewIntervalNanos());
  }
}
