package beaconturn.agreement;

import java.util.function.Consumer;

/** The pause after requests that the store did not answer as it should. For one thread. */
final class StoreBackoff {
  /** The pause grows up to the interval of renewals, by this part of it for each failure. */
  private static final int MAX_STEPS = 8;

  private final AgreementTiming timing;
  private final Jitter jitter;
  private final Consumer<String> log;
  private int failuresInSequence;
  private String lastReason = "";
  private long pausedUntilNanos;

  StoreBackoff(AgreementTiming timing, Jitter jitter, Consumer<String> log) {
    this.timing = timing;
    this.jitter = jitter;
    this.log = log;
  }

  boolean hasFailures() {
    return failuresInSequence > 0;
  }

  /** No request may be made before, by the member's clock. */
  long pausedUntilNanos() {
    return pausedUntilNanos;
  }

  /** Counts a failure; its reason is logged where it is another than before. */
  void countFailure(String reason) {
    failuresInSequence++;
    if (!reason.equals(lastReason)) {
      log.accept("agreement: the store does not answer as it should: " + reason);
    }
    lastReason = reason;
  }

  void pauseFrom(long nowNanos) {
    long pauseNanos =
        timing.renewIntervalNanos() / MAX_STEPS * Math.min(MAX_STEPS, failuresInSequence);
    pausedUntilNanos = nowNanos + jitter.spreadNanos(pauseNanos);
  }

  /** The store has answered as it should. */
  void reset() {
    if (failuresInSequence > 0) {
      log.accept("agreement: the store answers again");
    }
    failuresInSequence = 0;
    lastReason = "";
  }
}
