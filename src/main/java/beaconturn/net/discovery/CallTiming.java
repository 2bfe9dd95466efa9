package beaconturn.net.discovery;

import java.util.SplittableRandom;

/**
 * Determines how long calls to discovery wait for changes, when they are overdue and when they time
 * out. Confined to the owner of the random generator.
 *
 * @param random spreads the calls of routers that started together
 * @param maxWaitMillis a watch waits between three quarters of this time and all of it
 * @param overdueMarginMillis how long after its expected response a watch is overdue
 */
public record CallTiming(SplittableRandom random, int maxWaitMillis, int overdueMarginMillis) {
  /**
   * A silent watch of a discovery without a queue is overdue after at most this wait plus the
   * margin, which leaves half of the notification limit for the next call to get its turn.
   */
  private static final int DEFAULT_MAX_WAIT_MILLIS = 2_000;

  private static final int DEFAULT_OVERDUE_MARGIN_MILLIS = 1_000;

  /** Waits are shortened at random by up to the maximum divided by this. */
  private static final int JITTER_DIVISOR = 4;

  /** Makes the first watch return immediately with the changes since the initial list. */
  private static final int FIRST_WAIT_MILLIS = 1;

  /**
   * Factor of the margin of calls that return immediately: many routers make such calls at the same
   * time, after a restart or a move.
   */
  private static final int IMMEDIATE_MARGIN_FACTOR = 2;

  /** The watch after a failure waits for the regular time divided by this. */
  private static final int RESUMED_WAIT_DIVISOR = 4;

  /**
   * A router counts as notified of a change 6 s after discovery had it and could be reached. A call
   * that replaces a lost one has to be answered by then, with some time to spare.
   */
  private static final int NOTIFICATION_LIMIT_MILLIS = 6_000 - 200;

  /** The same after a failure, less the longest pause until the next call. */
  private static final int RESUMED_NOTIFICATION_LIMIT_MILLIS = NOTIFICATION_LIMIT_MILLIS - 1_200;

  /**
   * With a longer queue no replacement of a lost call is answered within the limit, so an early one
   * would only make the queue longer.
   */
  private static final int MAX_QUEUE_MILLIS = NOTIFICATION_LIMIT_MILLIS / 2;

  /** Longest time to wait for a response after a watch's own wait. */
  private static final int RESPONSE_TIMEOUT_MILLIS = 5_000;

  /** Longest time to wait for a response after it is expected, where that is longer. */
  private static final int QUEUED_RESPONSE_TIMEOUT_MILLIS = 2_000;

  /**
   * The times of one call.
   *
   * @param waitMillis how long discovery waits for a change before it responds
   * @param overdueMillis after this time without a response another call starts
   * @param timeoutMillis after this time without a response the call is abandoned
   */
  record CallTimes(int waitMillis, int overdueMillis, int timeoutMillis) {}

  /** The default times, with a random generator of that seed. */
  public static CallTiming of(long seed) {
    return new CallTiming(
        new SplittableRandom(seed), DEFAULT_MAX_WAIT_MILLIS, DEFAULT_OVERDUE_MARGIN_MILLIS);
  }

  /**
   * The times of the first watch after a start.
   *
   * @param queueMillis how long calls were queued at discovery of late; likewise below
   */
  CallTimes firstWatch(int queueMillis) {
    return times(
        FIRST_WAIT_MILLIS,
        IMMEDIATE_MARGIN_FACTOR * overdueMarginMillis,
        queueMillis,
        NOTIFICATION_LIMIT_MILLIS);
  }

  /** The times of the first watch after a failure, which has already taken up time. */
  CallTimes resumedWatch(int queueMillis) {
    return times(
        nextWaitMillis() / RESUMED_WAIT_DIVISOR,
        overdueMarginMillis,
        queueMillis,
        RESUMED_NOTIFICATION_LIMIT_MILLIS);
  }

  /** The times of any other watch. */
  CallTimes regularWatch(int queueMillis) {
    return times(nextWaitMillis(), overdueMarginMillis, queueMillis, NOTIFICATION_LIMIT_MILLIS);
  }

  /** The times of a call for the complete list. */
  CallTimes completeList(int queueMillis) {
    return times(
        0,
        IMMEDIATE_MARGIN_FACTOR * overdueMarginMillis,
        queueMillis,
        RESUMED_NOTIFICATION_LIMIT_MILLIS);
  }

  /** A random wait for the next watch. */
  int nextWaitMillis() {
    return maxWaitMillis - random.nextInt(maxWaitMillis / JITTER_DIVISOR + 1);
  }

  private static CallTimes times(int wait, int overdueMargin, int queue, int limit) {
    int expected = wait + queue;
    int overdue = expected + overdueMargin;
    if (queue <= MAX_QUEUE_MILLIS) {
      int latest = limit - queue;
      overdue = Math.max(wait + overdueMargin, Math.min(overdue, latest));
    }
    int timeout =
        Math.max(wait + RESPONSE_TIMEOUT_MILLIS, expected + QUEUED_RESPONSE_TIMEOUT_MILLIS);
    return new CallTimes(wait, overdue, timeout);
  }
}
