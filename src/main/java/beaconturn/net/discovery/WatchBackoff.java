package beaconturn.net.discovery;

import java.util.SplittableRandom;

/**
 * Determines how long watches of the endpoint list wait. Confined to the watch thread.
 *
 * @param random spreads the calls of routers that started together
 * @param maxWaitMillis a watch waits between three quarters of this time and all of it
 * @param silenceMarginMillis how long after its wait a watch without a response counts as dead
 */
public record WatchBackoff(SplittableRandom random, int maxWaitMillis, int silenceMarginMillis) {
  /**
   * A router counts as notified of a change 6 s after discovery had it. A dead watch takes at most
   * this wait plus the margin, which leaves half of the 6 s for a slow connection and a slow
   * response of the next watch.
   */
  private static final int DEFAULT_MAX_WAIT_MILLIS = 2_000;

  /** Discovery may queue calls for up to a second, so a slow response must not count as dead. */
  private static final int DEFAULT_SILENCE_MARGIN_MILLIS = 1_100;

  /** Waits are shortened at random by up to the maximum divided by this. */
  private static final int JITTER_DIVISOR = 4;

  /** The default times, with a random generator of that seed. */
  public static WatchBackoff of(long seed) {
    return new WatchBackoff(
        new SplittableRandom(seed), DEFAULT_MAX_WAIT_MILLIS, DEFAULT_SILENCE_MARGIN_MILLIS);
  }

  /** A random wait for the next watch. */
  int nextWaitMillis() {
    return maxWaitMillis - random.nextInt(maxWaitMillis / JITTER_DIVISOR + 1);
  }
}
