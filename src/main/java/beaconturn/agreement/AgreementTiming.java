package beaconturn.agreement;

/**
 * Timing parameters of an agreement, and the bounds that follow from them.
 *
 * @param leaseNanos how long a member may act on a version after it last confirmed that the version
 *     is in force
 * @param clockDrift maximum relative drift between the clocks of two machines, for example 0.01
 * @param applyNanos maximum time that a router takes to apply a version after receiving it
 */
public record AgreementTiming(long leaseNanos, double clockDrift, long applyNanos) {
  private static final long SECOND_NANOS = 1_000_000_000;

  /** Three consecutive renewals may fail before a lease expires. */
  private static final int RENEWALS_PER_LEASE = 4;

  /** In each renewal interval a member sends one keep-alive and one read. */
  private static final double REQUESTS_PER_RENEWAL = 2;

  /** Interval between two renewals of a lease. */
  public long renewIntervalNanos() {
    return leaseNanos / RENEWALS_PER_LEASE;
  }

  /** Timeout of one request to the store. */
  public long requestTimeoutNanos() {
    return leaseNanos / RENEWALS_PER_LEASE;
  }

  /**
   * Time to live of a member's lease at the store, in whole seconds. It exceeds the member's own
   * lease by the drift of both clocks, so a member whose lease has expired at the store has already
   * stopped acting on its version.
   */
  public long storeLeaseSeconds() {
    return (long) Math.ceil(leaseNanos * (1 + 2 * clockDrift) / SECOND_NANOS) + 1;
  }

  /**
   * Upper bound on how long a router may still act on the previous version after a new one has come
   * into force: the duration of the lease on a slow clock, counted from the sending of its renewal,
   * plus the time to apply the new version. A paused process does not act; the process checks its
   * lease before its next decision and before its next write.
   */
  public long maxStalenessNanos() {
    return (long) (leaseNanos * (1 + clockDrift)) + applyNanos;
  }

  /** Steady-state store requests per second of the given number of members. */
  public double requestsPerSecond(int members) {
    return members * REQUESTS_PER_RENEWAL * SECOND_NANOS / renewIntervalNanos();
  }
}
