package beaconturn.core;

import java.util.logging.Logger;

/**
 * Logs that something happens again and again, once when it begins and once when it is over; never
 * each time. For one thread.
 */
public final class RepeatedEventLog {
  private static final long QUIET = 10_000_000_000L;
  private static final long MILLI = 1_000_000;
  private final Logger log;
  private final String what;
  private final int fewest;
  private long began;
  private long last;
  private int count;

  /** A spell that is logged from so many times on. */
  public RepeatedEventLog(Logger log, String what, int fewest) {
    this.log = log;
    this.what = what;
    this.fewest = fewest;
  }

  /** Notes that it happens now. */
  public void note(long now) {
    note(now, "");
  }

  /** Notes that it happens now, and why; the reason is logged where the spell begins. */
  public void note(long now, String why) {
    check(now);
    began = count == 0 ? now : began;
    last = now;
    count++;
    if (count == fewest) {
      log.warning(
          what
              + ": begins, "
              + count
              + " times in "
              + (now - began) / MILLI
              + " ms"
              + (why.isEmpty() ? "" : ": " + why));
    }
  }

  /** Ends the spell if it has not happened for some seconds; called now and then. */
  public void check(long now) {
    if (count > 0 && now - last >= QUIET) {
      end();
    }
  }

  /** Ends the spell at once, as something shows that it is over. */
  public void end() {
    if (count >= fewest) {
      log.info(what + ": over, " + count + " times in " + (last - began) / MILLI + " ms");
    }
    count = 0;
  }
}
