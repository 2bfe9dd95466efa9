package beaconturn.core;

import java.util.function.Supplier;
import java.util.logging.Logger;

/**
 * A log of single events of a kind that may come thousands of times a second: some at once, then a
 * few a second; the next line says how many were left out before it. What must never be left out is
 * logged elsewhere. For any thread.
 */
public final class RateLimitedLog {
  private static final double NANOS_PER_SECOND = 1e9;
  private final Logger log;
  private final int burstLines;
  private final double linesPerSecond;
  // Guarded by this.
  private double tokens;
  private long refilledAtNanos;
  private boolean started;
  private long omittedLines;

  /** A log of so many lines at once and so many a second after that. */
  public RateLimitedLog(Logger log, int burstLines, double linesPerSecond) {
    this.log = log;
    this.burstLines = burstLines;
    this.linesPerSecond = linesPerSecond;
    this.tokens = burstLines;
  }

  /**
   * Logs the line if there is budget for it at that time, in nanoseconds; else counts it as left
   * out.
   */
  public void log(long nowNanos, Supplier<String> line) {
    long omittedBefore;
    synchronized (this) {
      if (!takeToken(nowNanos)) {
        omittedLines++;
        return;
      }
      omittedBefore = omittedLines;
      omittedLines = 0;
    }
    log.info(
        omittedBefore == 0
            ? line.get()
            : line.get() + " (" + omittedBefore + " such lines left out before)");
  }

  private boolean takeToken(long nowNanos) {
    if (started) {
      tokens =
          Math.min(
              burstLines,
              tokens + Math.max(0, nowNanos - refilledAtNanos) * linesPerSecond / NANOS_PER_SECOND);
    }
    started = true;
    refilledAtNanos = nowNanos;
    if (tokens < 1) {
      return false;
    }
    tokens--;
    return true;
  }
}
