package beaconturn.decision;

import java.util.SplittableRandom;

/**
 * Token bucket whose rate and burst are given at each refill. A new bucket starts with a random
 * fraction of one token: with a whole token each, hundreds of routers would spend them all at once.
 */
final class TokenBucket {
  private double tokens;
  private boolean initialized;
  private long refilledAtNanos;

  /**
   * Adds the tokens earned since the last refill, up to the burst. Draws from the random source at
   * the first refill.
   */
  void refill(long nowNanos, double tokensPerNano, double burstTokens, SplittableRandom random) {
    if (initialized) {
      tokens = Math.min(burstTokens, tokens + tokensPerNano * (nowNanos - refilledAtNanos));
    } else {
      tokens = random.nextDouble();
    }
    initialized = true;
    refilledAtNanos = nowNanos;
  }

  boolean hasToken() {
    return tokens >= 1;
  }

  /** Takes a token even if there is none; the balance may become negative. */
  void take() {
    tokens--;
  }

  /** Resets the bucket to its initial state. */
  void reset() {
    initialized = false;
  }
}
