package beaconturn.agreement;

import java.util.SplittableRandom;

/** Adds jitter to intervals, so that routers do not call the store in step. Not thread-safe. */
public final class Jitter {
  /** Intervals vary by a fifth in both directions. */
  private static final int SPREAD_DIVISOR = 5;

  private final SplittableRandom random;

  /** Creates a generator; equal seeds give equal sequences. */
  public Jitter(long seed) {
    this.random = new SplittableRandom(seed);
  }

  /** Returns a time drawn uniformly from a fifth below to a fifth above the given time. */
  public long spreadNanos(long nanos) {
    long spread = Math.max(1, nanos / SPREAD_DIVISOR);
    return nanos - spread + random.nextLong(2 * spread);
  }

  /** Returns a time drawn uniformly from zero up to, but not including, the bound. */
  public long belowNanos(long boundNanos) {
    return random.nextLong(Math.max(1, boundNanos));
  }
}
