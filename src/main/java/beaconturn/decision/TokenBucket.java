package beaconturn.decision;

import java.util.SplittableRandom;

/** Tokens that trickle in up to a burst; a new bucket starts at a random part of one token. */
final class TokenBucket {
  double tokens;
  private boolean started;
  private long filledAt;

  void fill(long now, double perNano, double burst, SplittableRandom phase) {
    tokens = started ? Math.min(burst, tokens + perNano * (now - filledAt)) : phase.nextDouble();
    started = true;
    filledAt = now;
  }

  /** Back to a new bucket. */
  void reset() {
    started = false;
  }
}
