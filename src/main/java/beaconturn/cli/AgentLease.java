package beaconturn.cli;

import beaconturn.agreement.CoordinationStore;
import beaconturn.agreement.StoreRequest;
import beaconturn.agreement.StoreResponse;

/**
 * Acquires and renews the store lease to which an agent binds its entries. Confined to the agent's
 * thread.
 */
final class AgentLease {
  private static final long NO_LEASE = 0;
  private final CoordinationStore store;
  private final long durationSeconds;
  private final long renewIntervalNanos;
  private long id = NO_LEASE;
  private long nextRenewalNanos;

  AgentLease(CoordinationStore store, long durationSeconds, long renewIntervalNanos) {
    this.store = store;
    this.durationSeconds = durationSeconds;
    this.renewIntervalNanos = renewIntervalNanos;
  }

  boolean isHeld() {
    return id != NO_LEASE;
  }

  /** The lease's id in the store, or 0 if no lease is held. */
  long id() {
    return id;
  }

  /** Renews the lease if renewal is due; requests a new one if none is held. */
  void renew() {
    long nowNanos = System.nanoTime();
    if (isHeld() && nowNanos < nextRenewalNanos) {
      return;
    }
    StoreRequest request =
        isHeld() ? new StoreRequest.KeepAlive(id) : new StoreRequest.Grant(durationSeconds);
    if (store.ask(request) instanceof StoreResponse.Success response) {
      if (!isHeld()) {
        id = response.leaseId();
      } else if (response.leaseTtlSeconds() <= 0) {
        id = NO_LEASE;
      }
      nextRenewalNanos = nowNanos + renewIntervalNanos;
    }
  }
}
