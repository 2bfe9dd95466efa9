package beaconturn.agreement;

import java.util.function.Consumer;

/** Backs off after failed store requests. Not thread-safe. */
final class StoreBackoff {
  /** The pause grows linearly and reaches the renewal interval after this many failures. */
  private static final int MAX_STEPS = 8;

  private final AgreementTiming timing;
  private final Jitter jitter;
  private final Consumer<String> log;
  private int consecutiveFailures;
  private String lastReason = "";
  private long pausedUntilNanos;

  StoreBackoff(AgreementTiming timing, Jitter jitter, Consumer<String> log) {
    this.timing = timing;
    this.jitter = jitter;
    this.log = log;
  }

  boolean hasFailures() {
    return consecutiveFailures > 0;
  }

  /** Earliest time of the next request, by the member's clock. */
  long pausedUntilNanos() {
    return pausedUntilNanos;
  }

  /** Counts a failure, and logs its reason if it differs from that of the previous failure. */
  void countFailure(String reason) {
    consecutiveFailures++;
    if (!reason.equals(lastReason)) {
      log.accept("agreement: the store does not answer as it should: " + reason);
    }
    lastReason = reason;
  }

  void pauseFrom(long nowNanos) {
    long pauseNanos =
        timing.renewIntervalNanos() / MAX_STEPS * Math.min(MAX_STEPS, consecutiveFailures);
    pausedUntilNanos = nowNanos + jitter.spreadNanos(pauseNanos);
  }

  /** Ends the backoff after a successful read. */
  void reset() {
    if (consecutiveFailures > 0) {
      log.accept("agreement: the store answers again");
    }
    consecutiveFailures = 0;
    lastReason = "";
  }
}
