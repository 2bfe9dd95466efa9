package beaconturn.core;

import java.util.logging.Logger;

/**
 * Logs a series of repeated events with one line at its start and one at its end, to keep an
 * incident from flooding the log. Not thread-safe.
 */
public final class RepeatedEventLog {
  private static final long SERIES_GAP_NANOS = 10_000_000_000L;
  private static final long NANOS_PER_MILLI = 1_000_000;
  private final Logger log;
  private final String event;
  private final int minCount;
  private long firstAtNanos;
  private long lastAtNanos;
  private int count;

  /** Creates a log of series of at least {@code minCount} events. */
  public RepeatedEventLog(Logger log, String event, int minCount) {
    this.log = log;
    this.event = event;
    this.minCount = minCount;
  }

  /** Records an occurrence of the event. */
  public void note(long nowNanos) {
    note(nowNanos, "");
  }

  /** Records an occurrence of the event; the reason is logged if the occurrence starts a series. */
  public void note(long nowNanos, String reason) {
    check(nowNanos);
    if (count == 0) {
      firstAtNanos = nowNanos;
    }
    lastAtNanos = nowNanos;
    count++;
    if (count == minCount) {
      log.warning(
          event
              + ": started, "
              + count
              + " times in "
              + (nowNanos - firstAtNanos) / NANOS_PER_MILLI
              + " ms"
              + (reason.isEmpty() ? "" : ": " + reason));
    }
  }

  /** Ends the series if the last event is at least 10 s ago. To be called periodically. */
  public void check(long nowNanos) {
    if (count > 0 && nowNanos - lastAtNanos >= SERIES_GAP_NANOS) {
      end();
    }
  }

  /** Ends the series now. */
  public void end() {
    if (count >= minCount) {
      log.info(
          event
              + ": ended, "
              + count
              + " times in "
              + (lastAtNanos - firstAtNanos) / NANOS_PER_MILLI
              + " ms");
    }
    count = 0;
  }
}
