package beaconturn.decision;

import java.util.SplittableRandom;

/**
 * Keeps the subscription to the endpoint list: when it is renewed after a failure, and from when on
 * starts that lists tell count.
 */
final class EndpointWatch {
  /**
   * The longest pause before a list is asked for again. A change counts as notified 6 s after
   * discovery can be reached: time for a call that hangs, this pause, and a call that waits for its
   * turn, twice over.
   */
  private static final long LONGEST_PAUSE_NANOS = 1_200_000_000;

  /** The first pause after a failure, as a part of the interval between polls. */
  private static final int POLL_INTERVAL_DIVISOR = 16;

  /** Wall clocks are corrected by no more than this. */
  private static final long LARGEST_CLOCK_STEP_NANOS = 3_600_000_000_000L;

  private final SafetyLimits limits;
  private final EventClock clock;
  private final SplittableRandom random;
  private final RoutingActions actions;
  private long backoffNanos;

  /** Whether discovery itself has sent a list, beside the cached one at the start. */
  private boolean listReceived;

  EndpointWatch(
      SafetyLimits limits, EventClock clock, SplittableRandom random, RoutingActions actions) {
    this.limits = limits;
    this.clock = clock;
    this.random = random;
    this.actions = actions;
    this.backoffNanos = firstPauseNanos();
  }

  /** Goes on from the watch of the router that this one follows. */
  void continueFrom(EndpointWatch before) {
    listReceived = before.listReceived;
  }

  /** Subscribes to the list and its changes. */
  void subscribe() {
    actions.watchEndpoints(true);
  }

  /** The list could not be had; it is asked for again after a pause that grows. Draws. */
  void failed() {
    long pauseNanos = (long) (backoffNanos * (0.5 + random.nextDouble() / 2));
    backoffNanos = Math.min(2 * backoffNanos, LONGEST_PAUSE_NANOS);
    actions.setTimer(pauseNanos, TimerToken.resubscribe().encode());
  }

  /** A list, or a change of it, was taken over. */
  void received(EndpointListKind kind) {
    if (kind != EndpointListKind.CACHED) {
      backoffNanos = firstPauseNanos();
      listReceived = true;
    }
  }

  /**
   * When a server whose start is new here counts as started, by the router's clock; 0 for long ago.
   * Lists tell starts by a wall clock, which may have been stepped since, so a new start counts as
   * one of now. Only the first lists name all starts of the past: there a start that is older than
   * any clock step and the warm-up together is long ago.
   */
  long startedAtNanos(Endpoint endpoint) {
    long ageNanos = clock.nowNanos() - endpoint.bootTimeNanos();
    boolean longAgo = !listReceived && ageNanos > LARGEST_CLOCK_STEP_NANOS + limits.warmUpNanos();
    return longAgo ? 0 : clock.nowNanos();
  }

  private long firstPauseNanos() {
    return Math.min(limits.pollIntervalNanos() / POLL_INTERVAL_DIVISOR, LONGEST_PAUSE_NANOS);
  }
}
