package beaconturn.cli;

import beaconturn.agreement.CoordinationStore;
import beaconturn.agreement.StoreRequest;
import beaconturn.agreement.StoreResponse;

/**
 * The lease of an agent in the store, to which its entries are bound. Confined to the agent's
 * thread.
 */
final class AgentLease {
  private static final long NONE = 0;
  private final CoordinationStore store;
  private final long durationSeconds;
  private final long renewIntervalNanos;
  private long id = NONE;
  private long renewAtNanos;

  AgentLease(CoordinationStore store, long durationSeconds, long renewIntervalNanos) {
    this.store = store;
    this.durationSeconds = durationSeconds;
    this.renewIntervalNanos = renewIntervalNanos;
  }

  boolean isHeld() {
    return id != NONE;
  }

  /** The lease's id in the store; 0 where none is held. */
  long id() {
    return id;
  }

  /** Renews the lease if that is due; takes one where none is held. */
  void renew() {
    long nowNanos = System.nanoTime();
    if (isHeld() && nowNanos < renewAtNanos) {
      return;
    }
    StoreRequest request =
        isHeld() ? new StoreRequest.KeepAlive(id) : new StoreRequest.Grant(durationSeconds);
    if (store.ask(request) instanceof StoreResponse.Success response) {
      if (!isHeld()) {
        id = response.leaseId();
      } else if (response.leaseTtlSeconds() <= 0) {
        id = NONE;
      }
      renewAtNanos = nowNanos + renewIntervalNanos;
    }
  }
}
