package beaconturn.core;

import java.util.logging.Logger;

/**
 * A log of something that happens again and again: one line when it begins and one when it is over,
 * never one each time. Not safe for use by several threads at once.
 */
public final class RepeatedEventLog {
  private static final long OVER_AFTER_NANOS = 10_000_000_000L;
  private static final long NANOS_PER_MILLI = 1_000_000;
  private final Logger log;
  private final String event;
  private final int minCount;
  private long firstAtNanos;
  private long lastAtNanos;
  private int count;

  /** A log of an event that is worth a line from so many times on. */
  public RepeatedEventLog(Logger log, String event, int minCount) {
    this.log = log;
    this.event = event;
    this.minCount = minCount;
  }

  /** Notes that it happens now. */
  public void note(long nowNanos) {
    note(nowNanos, "");
  }

  /** Notes that it happens now, and why; the reason is logged where it begins. */
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
              + ": begins, "
              + count
              + " times in "
              + (nowNanos - firstAtNanos) / NANOS_PER_MILLI
              + " ms"
              + (reason.isEmpty() ? "" : ": " + reason));
    }
  }

  /** Ends the series if it has not happened for some seconds; to be called again and again. */
  public void check(long nowNanos) {
    if (count > 0 && nowNanos - lastAtNanos >= OVER_AFTER_NANOS) {
      end();
    }
  }

  /** Ends the series at once, as something shows that it is over. */
  public void end() {
    if (count >= minCount) {
      log.info(
          event
              + ": over, "
              + count
              + " times in "
              + (lastAtNanos - firstAtNanos) / NANOS_PER_MILLI
              + " ms");
    }
    count = 0;
  }
}
