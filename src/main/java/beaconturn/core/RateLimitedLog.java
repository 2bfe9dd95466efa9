package beaconturn.core;

import java.util.function.Supplier;
import java.util.logging.Logger;

/**
 * Log lines of single events of a kind that may come thousands of times a second: some at once,
 * then a few a second; the next line says how many were left out before it. What must never be left
 * out is logged elsewhere.
 */
public final class RateLimitedLog {
  private static final double SECOND = 1e9;
  private final Logger log;
  private final int burst;
  private final double perSecond;
  // Guarded by this:
  private double tokens;
  private long refilledAt;
  private boolean begun;
  private long leftOut;

  /** A budget of so many lines at once and so many a second after that. */
  public RateLimitedLog(Logger log, int burst, double perSecond) {
    this.log = log;
    this.burst = burst;
    this.perSecond = perSecond;
    this.tokens = burst;
  }

  /**
   * Logs the line if there is budget for it at that time, in nanoseconds; else counts it as left
   * out.
   */
  public void log(long now, Supplier<String> line) {
    long before;
    synchronized (this) {
      if (!spend(now)) {
        leftOut++;
        return;
      }
      before = leftOut;
      leftOut = 0;
    }
    log.info(
        before == 0 ? line.get() : line.get() + " (" + before + " such lines left out before)");
  }

  private boolean spend(long now) {
    if (begun) {
      tokens = Math.min(burst, tokens + Math.max(0, now - refilledAt) * perSecond / SECOND);
    }
    begun = true;
    refilledAt = now;
    if (tokens < 1) {
      return false;
    }
    tokens--;
    return true;
  }
}
