package beaconturn.net;

import beaconturn.core.Clock;
import java.io.FileInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.function.LongSupplier;

/**
 * Notices that this process stood still, and tells how much processor time went by meanwhile: next
 * to none says that it was kept from running, much says that the JVM itself was at work. For one
 * thread.
 */
final class ProcessPauseDetector {
  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final long SHORTEST_PAUSE_NANOS = 500 * NANOS_PER_MILLI;

  /** The kernel tells processor times in hundredths of a second, whatever its own clock. */
  private static final long NANOS_PER_TICK = 10 * NANOS_PER_MILLI;

  private static final int LONGEST_STAT_BYTES = 1024;

  /** Position of the user time in /proc/PID/stat, counted from behind the name, from 0. */
  private static final int USER_TIME_FIELD = 11;

  private static final int SYSTEM_TIME_FIELD = 12;

  private final Clock clock;
  private final LongSupplier processorTimeNanos;
  private long checkedAtNanos;
  private long processorTimeThenNanos;

  /** {@code processorTimeNanos} is what the process has used so far. */
  ProcessPauseDetector(Clock clock, LongSupplier processorTimeNanos) {
    this.clock = clock;
    this.processorTimeNanos = processorTimeNanos;
    this.checkedAtNanos = clock.now();
    this.processorTimeThenNanos = processorTimeNanos.getAsLong();
  }

  /**
   * The processor time of this process as the kernel accounts for it, to 10 ms; 0 where it does not
   * tell. One small file, as this is asked twenty times a second: {@link ProcessHandle.Info} also
   * reads the command line and asks the C library for the user's name each time.
   */
  static long processorTimeNanos() {
    try (InputStream in = new FileInputStream("/proc/self/stat")) {
      return processorTimeNanos(
          new String(in.readNBytes(LONGEST_STAT_BYTES), StandardCharsets.US_ASCII));
    } catch (IOException e) {
      return 0;
    }
  }

  /**
   * User and system time of a line of /proc/PID/stat (proc(5)); the name before them may hold
   * anything, closing parentheses included.
   */
  static long processorTimeNanos(String stat) {
    String[] fields = stat.substring(stat.lastIndexOf(')') + 1).trim().split(" ");
    if (fields.length <= SYSTEM_TIME_FIELD) {
      return 0;
    }
    long ticks =
        Long.parseLong(fields[USER_TIME_FIELD]) + Long.parseLong(fields[SYSTEM_TIME_FIELD]);
    return ticks * NANOS_PER_TICK;
  }

  /**
   * A description of the pause since the last check, or null if there was none worth telling; to be
   * called far more often than that.
   */
  String check() {
    long nowNanos = clock.now();
    long usedNanos = processorTimeNanos.getAsLong();
    String pause = null;
    if (nowNanos - checkedAtNanos > SHORTEST_PAUSE_NANOS) {
      pause =
          "stood still for "
              + (nowNanos - checkedAtNanos) / NANOS_PER_MILLI
              + " ms, with "
              + (usedNanos - processorTimeThenNanos) / NANOS_PER_MILLI
              + " ms of processor time";
    }
    checkedAtNanos = nowNanos;
    processorTimeThenNanos = usedNanos;
    return pause;
  }
}
