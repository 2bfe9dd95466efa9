package beaconturn.agreement;

/** The store's lease on a member: granted, kept alive, and lost. For the member's thread. */
final class StoreLease {
  /** The id while no lease is held. */
  static final long NONE = 0;

  private final AgreementTiming timing;
  private final Jitter jitter;
  private long id = NONE;

  /** When the request was sent that last kept the lease alive. */
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

  /** The request that gets or renews the lease, or null while none is due. */
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

  /** Whether the store has kept the lease alive; where it has not, a new one is to be asked for. */
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
