package beaconturn.zones;

/**
 * The times of decisions on zones.
 *
 * @param confirmNanos how long a zone must be bad before its keys move
 * @param recoveryNanos how long it must be good before they come back; doubled with each time that
 *     it flaps
 * @param maxRecoveryNanos the most that this time can become
 * @param stepIntervalNanos from one step of a return or a spill to the next
 * @param statedNanos how long routers may act on a plan after the next one is in force, by their
 *     leases
 */
public record FailoverTiming(
    long confirmNanos,
    long recoveryNanos,
    long maxRecoveryNanos,
    long stepIntervalNanos,
    long statedNanos) {
  private static final long SECOND_NANOS = 1_000_000_000;

  /** The usual ones with that stated time. */
  public static FailoverTiming usual(long statedNanos) {
    return new FailoverTiming(
        SECOND_NANOS, 3 * SECOND_NANOS, 60 * SECOND_NANOS, SECOND_NANOS, statedNanos);
  }
}
