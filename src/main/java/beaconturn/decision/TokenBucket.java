package beaconturn.decision;

import java.util.SplittableRandom;

/**
 * A token bucket whose rate and burst are given at each refill. A new bucket starts with a random
 * part of one token: whole first tokens of hundreds of routers would all be spent at once.
 */
final class TokenBucket {
  private double tokens;
  private boolean started;
  private long filledAtNanos;

  /** Adds what has come in since the last refill, up to the burst; the first one draws. */
  void refill(long nowNanos, double tokensPerNano, double burstTokens, SplittableRandom random) {
    if (started) {
      tokens = Math.min(burstTokens, tokens + tokensPerNano * (nowNanos - filledAtNanos));
    } else {
      tokens = random.nextDouble();
    }
    started = true;
    filledAtNanos = nowNanos;
  }

  boolean hasToken() {
    return tokens >= 1;
  }

  /** Takes a token whether or not there is one: the balance may become negative. */
  void take() {
    tokens--;
  }

  /** Makes it a new bucket again. */
  void reset() {
    started = false;
  }
}
