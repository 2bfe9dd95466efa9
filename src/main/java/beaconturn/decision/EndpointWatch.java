package beaconturn.decision;

import java.util.SplittableRandom;

/**
 * Maintains the subscription to the endpoint list: renews it after failures, and determines which
 * reported start times are trusted.
 */
final class EndpointWatch {
  /**
   * Longest delay before the list is requested again. A change has to reach the router within 6 s
   * after discovery is reachable. These 6 s have to fit two rounds of a call that hangs, this delay
   * and a call that waits in a queue.
   */
  private static final long MAX_BACKOFF_NANOS = 1_200_000_000;

  /** Initial backoff, as a divisor of the poll interval. */
  private static final int INITIAL_BACKOFF_DIVISOR = 16;

  /** Upper bound of a correction of the wall clock. */
  private static final long MAX_CLOCK_STEP_NANOS = 3_600_000_000_000L;

  private final SafetyLimits limits;
  private final EventClock clock;
  private final SplittableRandom random;
  private final RoutingActions actions;
  private long backoffNanos;

  /** Whether discovery itself has sent a list; the cached list at startup does not count. */
  private boolean listReceived;

  EndpointWatch(
      SafetyLimits limits, EventClock clock, SplittableRandom random, RoutingActions actions) {
    this.limits = limits;
    this.clock = clock;
    this.random = random;
    this.actions = actions;
    this.backoffNanos = initialBackoffNanos();
  }

  /** Continues the watch of the predecessor. */
  void continueFrom(EndpointWatch predecessor) {
    listReceived = predecessor.listReceived;
  }

  /** Subscribes to the list and its changes. */
  void subscribe() {
    actions.watchEndpoints(true);
  }

  /**
   * Schedules another request for the list with exponential backoff and jitter. Draws from the
   * random source.
   */
  void updateFailed() {
    long delayNanos = (long) (backoffNanos * (0.5 + random.nextDouble() / 2));
    backoffNanos = Math.min(2 * backoffNanos, MAX_BACKOFF_NANOS);
    actions.setTimer(delayNanos, TimerToken.resubscribe().encode());
  }

  /** Resets the backoff after an update from discovery. */
  void updateReceived(EndpointListKind kind) {
    if (kind != EndpointListKind.CACHED) {
      backoffNanos = initialBackoffNanos();
      listReceived = true;
    }
  }

  /**
   * Returns when a server with a new boot time counts as started, by the router's clock; 0 for long
   * ago. Boot times are wall-clock times and the wall clock may have been stepped since, so a new
   * boot time counts as a start now. Only the first list includes servers that started long ago;
   * there, a start older than the largest clock step plus the warm-up time counts as long ago.
   */
  long startedAtNanos(Endpoint endpoint) {
    long ageNanos = clock.nowNanos() - endpoint.bootTimeNanos();
    boolean startedLongAgo =
        !listReceived && ageNanos > MAX_CLOCK_STEP_NANOS + limits.warmUpNanos();
    return startedLongAgo ? 0 : clock.nowNanos();
  }

  private long initialBackoffNanos() {
    return Math.min(limits.pollIntervalNanos() / INITIAL_BACKOFF_DIVISOR, MAX_BACKOFF_NANOS);
  }
}
