package beaconturn.agreement;

/**
 * The times of an agreement; all that is stated follows from them.
 *
 * @param leaseNanos how long a member may act on a version after it last read that it is in force
 * @param clockDrift by what part two machines' clocks may run apart, for example 0.01
 * @param applyNanos how long a router takes at most to put a version in force once it knows of it
 */
public record AgreementTiming(long leaseNanos, double clockDrift, long applyNanos) {
  private static final long SECOND_NANOS = 1_000_000_000;

  /** Three renewals may fail before a lease ends. */
  private static final int RENEWALS_PER_LEASE = 4;

  /** Requests of a member in one interval of renewals: one keeps the lease alive, one reads. */
  private static final double REQUESTS_PER_RENEWAL = 2;

  /** How often a lease is renewed. */
  public long renewIntervalNanos() {
    return leaseNanos / RENEWALS_PER_LEASE;
  }

  /** How long one request to the store may take. */
  public long requestTimeoutNanos() {
    return leaseNanos / RENEWALS_PER_LEASE;
  }

  /**
   * The store's own lease on a member, in whole seconds as it counts them: longer than the member's
   * by what both clocks may err, so that who is gone at the store has long stopped acting on its
   * version alone.
   */
  public long storeLeaseSeconds() {
    return (long) Math.ceil(leaseNanos * (1 + 2 * clockDrift) / SECOND_NANOS) + 1;
  }

  /**
   * The stated time: for how long after a version has come into force anywhere another router may
   * still act on the one before. That is its lease, counted from before the request that renewed
   * it, by a clock that may be slow, and the time to put the other in force. A process that is
   * paused acts on nothing; it looks at its lease before its next decision and before its next
   * write.
   */
  public long maxStalenessNanos() {
    return (long) (leaseNanos * (1 + clockDrift)) + applyNanos;
  }

  /** Requests a second at the store of so many members, all renewing. */
  public double requestsPerSecond(int members) {
    return members * REQUESTS_PER_RENEWAL * SECOND_NANOS / renewIntervalNanos();
  }
}
