package beaconturn.agreement;

/**
 * The times of an agreement, in nanoseconds; all that is stated follows from them.
 *
 * @param leaseNanos how long a router may act on a version after it last read that it is in force
 * @param clockDrift by what part two machines' clocks may run apart, for example 0.01
 * @param applyNanos how long a router takes at most to put a version in force once it knows of it
 */
public record AgreementTiming(long leaseNanos, double clockDrift, long applyNanos) {
  private static final long SECOND = 1_000_000_000;
  private static final int RENEWALS = 4;

  /** How often a lease is renewed: three renewals may fail before it ends. */
  public long renewIntervalNanos() {
    return leaseNanos / RENEWALS;
  }

  /** How long one call to the store may take. */
  public long requestTimeoutNanos() {
    return leaseNanos / RENEWALS;
  }

  /**
   * The store's own lease on a router, in whole seconds as it counts them: longer than the router's
   * by what both clocks may err, so that who is gone at the store has long stopped acting on its
   * version alone.
   */
  public long storeLeaseSeconds() {
    return (long) Math.ceil(leaseNanos * (1 + 2 * clockDrift) / SECOND) + 1;
  }

  /**
   * For how long after a version has come into force anywhere another router may still act on the
   * one before: its lease, counted from before the call that renewed it, by a clock that may be
   * slow, and the time to put the other in force. A process that is paused acts on nothing; it
   * looks at its lease before its next decision and before its next write.
   */
  public long statedNanos() {
    return (long) (leaseNanos * (1 + clockDrift)) + applyNanos;
  }

  /**
   * Calls a second at the store of so many routers, all renewing: one keeps the lease, one reads.
   */
  public double requestsPerSecond(int routers) {
    return routers * 2.0 * SECOND / renewIntervalNanos();
  }
}
