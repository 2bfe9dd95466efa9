package beaconturn.core;

import java.util.function.Supplier;
import java.util.logging.Logger;

/**
 * Logs events that may occur thousands of times a second, limited by a token bucket; the next line
 * after a gap states how many lines were omitted. Not for messages that must never be lost. Safe
 * for any thread.
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

  /** Creates a log that permits bursts of lines and a sustained rate. */
  public RateLimitedLog(Logger log, int burstLines, double linesPerSecond) {
    this.log = log;
    this.burstLines = burstLines;
    this.linesPerSecond = linesPerSecond;
    this.tokens = burstLines;
  }

  /** Logs the line if a token is available at that time, else counts it as omitted. */
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
