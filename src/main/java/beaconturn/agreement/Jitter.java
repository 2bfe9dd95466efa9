package beaconturn.agreement;

import java.util.SplittableRandom;

/** Random spread of times, so that many routers do not call the store in step. For one thread. */
public final class Jitter {
  /** A time is spread by a fifth to both sides. */
  private static final int SPREAD_PARTS = 5;

  private final SplittableRandom random;

  /** Draws from the seed. */
  public Jitter(long seed) {
    this.random = new SplittableRandom(seed);
  }

  /** A time about as long, drawn evenly from the spread around it. */
  public long spreadNanos(long nanos) {
    long part = Math.max(1, nanos / SPREAD_PARTS);
    return nanos - part + random.nextLong(2 * part);
  }

  /** Any time shorter than the given one. */
  public long belowNanos(long boundNanos) {
    return random.nextLong(Math.max(1, boundNanos));
  }
}
