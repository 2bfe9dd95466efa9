package beaconturn.net.discovery;

import java.util.SplittableRandom;

/**
 * Determines how long calls to discovery wait for changes, when they are overdue and when they time
 * out. Confined to the owner of the random generator.
 *
 * @param random spreads the calls of routers that started together
 * @param maxWaitMillis a watch waits between three quarters of this time and all of it
 * @param overdueMarginMillis how long after its wait a watch without a response is overdue
 */
public record CallTiming(SplittableRandom random, int maxWaitMillis, int overdueMarginMillis) {
  /**
   * A router counts as notified of a change 6 s after discovery had it and could be reached. A lost
   * watch is overdue after at most this wait plus the margin, which leaves the other half of the 6
   * s for the call that replaces it to be answered, however short the queue was before.
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

  /**
   * The watch after a failure waits for the regular time divided by this, as the pause after the
   * failure has taken up a part of the 6 s.
   */
  private static final int RESUMED_WAIT_DIVISOR = 4;

  /**
   * With a longer queue no replacement of a lost call is answered within the 6 s, and an early one
   * would only make the queue longer.
   */
  private static final int MAX_QUEUE_MILLIS = 3_000;

  /** How long after it has become overdue a call times out. */
  private static final int TIMEOUT_AFTER_OVERDUE_MILLIS = 4_000;

  /**
   * The times of one call.
   *
   * @param waitMillis how long discovery waits for a change before it responds
   * @param overdueMillis after this time without a response another call starts
   * @param timeoutMillis after this time without a response the call may be abandoned
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
   * @param queueMillis how long the last call was queued at discovery; likewise below
   */
  CallTimes firstWatch(int queueMillis) {
    return times(FIRST_WAIT_MILLIS, IMMEDIATE_MARGIN_FACTOR * overdueMarginMillis, queueMillis);
  }

  /** The times of the first watch after a failure. */
  CallTimes resumedWatch(int queueMillis) {
    return times(nextWaitMillis() / RESUMED_WAIT_DIVISOR, overdueMarginMillis, queueMillis);
  }

  /** The times of any other watch. */
  CallTimes regularWatch(int queueMillis) {
    return times(nextWaitMillis(), overdueMarginMillis, queueMillis);
  }

  /** The times of a call for the complete list. */
  CallTimes completeList(int queueMillis) {
    return times(0, IMMEDIATE_MARGIN_FACTOR * overdueMarginMillis, queueMillis);
  }

  /** A random wait for the next watch. */
  int nextWaitMillis() {
    return maxWaitMillis - random.nextInt(maxWaitMillis / JITTER_DIVISOR + 1);
  }

  private static CallTimes times(int waitMillis, int marginMillis, int queueMillis) {
    int expectedMillis = queueMillis > MAX_QUEUE_MILLIS ? waitMillis + queueMillis : waitMillis;
    int overdueMillis = expectedMillis + marginMillis;
    return new CallTimes(waitMillis, overdueMillis, overdueMillis + TIMEOUT_AFTER_OVERDUE_MILLIS);
  }
}
