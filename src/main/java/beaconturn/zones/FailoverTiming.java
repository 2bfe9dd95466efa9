package beaconturn.zones;

/**
 * Timing of failover decisions.
 *
 * @param confirmNanos how long a zone must be unhealthy before its keys move
 * @param recoveryNanos how long a zone must be healthy before its keys return; doubled with each
 *     flap
 * @param maxRecoveryNanos upper limit of the doubled recovery time
 * @param stepIntervalNanos interval between two steps of a return or a spill
 * @param planOverlapNanos how long routers may act on a plan after the next plan is in force, as
 *     bounded by their leases
 */
public record FailoverTiming(
    long confirmNanos,
    long recoveryNanos,
    long maxRecoveryNanos,
    long stepIntervalNanos,
    long planOverlapNanos) {
  private static final long SECOND_NANOS = 1_000_000_000;

  /** Returns the default timing with the given plan overlap. */
  public static FailoverTiming withDefaults(long planOverlapNanos) {
    return new FailoverTiming(
        SECOND_NANOS, 3 * SECOND_NANOS, 60 * SECOND_NANOS, SECOND_NANOS, planOverlapNanos);
  }
}
