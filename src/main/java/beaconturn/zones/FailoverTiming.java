package beaconturn.zones;

/**
 * The times of decisions, in nanoseconds, and how large a step is.
 *
 * @param confirm so long a place must be bad before its keys move
 * @param calm so long it must be good before they come back, doubled with each time that it flaps
 * @param longest the most that is
 * @param step from one step of a return or a spill to the next
 * @param stated how long routers may act on a plan after the next one, from their leases
 */
public record FailoverTiming(long confirm, long calm, long longest, long step, long stated) {
  private static final long SECOND = 1_000_000_000;

  /** The usual ones with that stated time. */
  public static FailoverTiming usual(long stated) {
    return new FailoverTiming(SECOND, 3 * SECOND, 60 * SECOND, SECOND, stated);
  }
}
