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
  private static final long MILLI = 1_000_000;
  private static final long WORTH_TELLING = 500 * MILLI;

  /** The kernel tells times in hundredths of a second, whatever its own clock. */
  private static final long TICK = 10 * MILLI;

  private static final int LONGEST_STAT = 1024;

  /** Counted from behind the name, from 0. */
  private static final int USER_TIME = 11;

  private static final int SYSTEM_TIME = 12;
  private final Clock clock;
  private final LongSupplier processorTime;
  private long lookedAt;
  private long usedThen;

  /** {@code processorTime} is what the process has used so far, in nanoseconds. */
  ProcessPauseDetector(Clock clock, LongSupplier processorTime) {
    this.clock = clock;
    this.processorTime = processorTime;
    this.lookedAt = clock.now();
    this.usedThen = processorTime.getAsLong();
  }

  /**
   * As the kernel accounts for this process, to 10 ms; 0 where it does not tell. One small file, as
   * this is asked twenty times a second: {@link ProcessHandle.Info} also reads the command line and
   * asks the C library for the user's name each time.
   */
  static long ownProcessorTime() {
    try (InputStream in = new FileInputStream("/proc/self/stat")) {
      return processorTime(new String(in.readNBytes(LONGEST_STAT), StandardCharsets.US_ASCII));
    } catch (IOException e) {
      return 0;
    }
  }

  /**
   * User and system time of a line of /proc/PID/stat (proc(5)); the name before them may hold
   * anything.
   */
  static long processorTime(String stat) {
    String[] fields = stat.substring(stat.lastIndexOf(')') + 1).trim().split(" ");
    return fields.length <= SYSTEM_TIME
        ? 0
        : (Long.parseLong(fields[USER_TIME]) + Long.parseLong(fields[SYSTEM_TIME])) * TICK;
  }

  /** What there is to tell, or null; to be called far more often than a pause is worth telling. */
  String look() {
    long now = clock.now();
    long used = processorTime.getAsLong();
    String told =
        now - lookedAt <= WORTH_TELLING
            ? null
            : "stood still for "
                + (now - lookedAt) / MILLI
                + " ms, with "
                + (used - usedThen) / MILLI
                + " ms of processor time";
    lookedAt = now;
    usedThen = used;
    return told;
  }
}
