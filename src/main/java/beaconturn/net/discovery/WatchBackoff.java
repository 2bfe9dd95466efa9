package beaconturn.net.discovery;

import java.util.SplittableRandom;

/**
 * How long watches of the list wait, in milliseconds; for the watching thread alone.
 *
 * @param random spreads the calls of routers that started together
 * @param longest wait
 * @param slack beyond its wait a watch with no answer has fallen silent
 */
public record WatchBackoff(SplittableRandom random, int longest, int slack) {
  /**
   * A change counts as told 6 s after discovery had it, whether or not the watch has fallen silent.
   * From the beginning of a silent watch to that of the next one pass at most this wait and the
   * slack, which leaves half of the 6 s to a connection that comes up late and a discovery that
   * answers slowly.
   */
  private static final int LONGEST = 2_000;

  /**
   * Discovery works through calls in turn for up to a second: an answer that is only slow is waited
   * for.
   */
  private static final int SLACK = 1_100;

  /** The usual times, drawn from the seed. */
  public static WatchBackoff of(long seed) {
    return new WatchBackoff(new SplittableRandom(seed), LONGEST, SLACK);
  }

  /** The wait of the next call. */
  int next() {
    return longest - random.nextInt(longest / 4 + 1);
  }
}
