package beaconturn.net.discovery;

import java.util.SplittableRandom;

/**
 * How long watches of the endpoint list wait; for the watching thread alone.
 *
 * @param random spreads the calls of routers that started together
 * @param longestWaitMillis a watch waits three quarters of it or more
 * @param silenceMarginMillis beyond its wait a watch with no answer has fallen silent
 */
public record WatchBackoff(
    SplittableRandom random, int longestWaitMillis, int silenceMarginMillis) {
  /**
   * A change counts as notified 6 s after discovery had it, whether or not the watch has fallen
   * silent. From the begin of a silent watch to that of the next one pass at most this wait and the
   * margin, which leaves half of the 6 s to a connection that comes up late and a discovery that
   * answers slowly.
   */
  private static final int USUAL_LONGEST_WAIT_MILLIS = 2_000;

  /**
   * Discovery works through calls in turn for up to a second: an answer that is only slow is waited
   * for.
   */
  private static final int USUAL_SILENCE_MARGIN_MILLIS = 1_100;

  /** Waits differ by up to this part of the longest one. */
  private static final int SPREAD_PART = 4;

  /** The usual times, drawn from the seed. */
  public static WatchBackoff of(long seed) {
    return new WatchBackoff(
        new SplittableRandom(seed), USUAL_LONGEST_WAIT_MILLIS, USUAL_SILENCE_MARGIN_MILLIS);
  }

  /** Draws the wait of the next watch. */
  int nextWaitMillis() {
    return longestWaitMillis - random.nextInt(longestWaitMillis / SPREAD_PART + 1);
  }
}
