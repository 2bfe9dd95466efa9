package beaconturn.net;

import beaconturn.core.Clock;
import java.io.FileInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.function.LongSupplier;

/**
 * Detects pauses of this process, and how much CPU time it used meanwhile: almost none means that
 * the process was stopped or starved of CPU, much means that the JVM itself was busy. For one
 * thread.
 */
final class ProcessPauseDetector {
  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final long MIN_PAUSE_NANOS = 500 * NANOS_PER_MILLI;

  /** The kernel reports CPU times in hundredths of a second, independent of its own clock rate. */
  private static final long NANOS_PER_TICK = 10 * NANOS_PER_MILLI;

  private static final int MAX_STAT_BYTES = 1024;

  /** Index of the user time in /proc/PID/stat, counted from 0 after the process name. */
  private static final int USER_TIME_FIELD = 11;

  private static final int SYSTEM_TIME_FIELD = 12;

  private final Clock clock;
  private final LongSupplier cpuTimeNanos;
  private long lastCheckAtNanos;
  private long lastCpuTimeNanos;

  /** Creates a detector; {@code cpuTimeNanos} supplies the CPU time used so far. */
  ProcessPauseDetector(Clock clock, LongSupplier cpuTimeNanos) {
    this.clock = clock;
    this.cpuTimeNanos = cpuTimeNanos;
    this.lastCheckAtNanos = clock.now();
    this.lastCpuTimeNanos = cpuTimeNanos.getAsLong();
  }

  /**
   * The CPU time of this process from the kernel, to 10 ms; 0 if not available. Reads one small
   * file, as this is called twenty times a second: {@link ProcessHandle.Info} also reads the
   * command line and looks up the user name.
   */
  static long cpuTimeNanos() {
    try (InputStream in = new FileInputStream("/proc/self/stat")) {
      return cpuTimeNanos(new String(in.readNBytes(MAX_STAT_BYTES), StandardCharsets.US_ASCII));
    } catch (IOException e) {
      return 0;
    }
  }

  /**
   * User plus system time from a line of /proc/PID/stat (proc(5)). The process name before them may
   * contain any character, including closing parentheses.
   */
  static long cpuTimeNanos(String stat) {
    String[] fields = stat.substring(stat.lastIndexOf(')') + 1).trim().split(" ");
    if (fields.length <= SYSTEM_TIME_FIELD) {
      return 0;
    }
    long ticks =
        Long.parseLong(fields[USER_TIME_FIELD]) + Long.parseLong(fields[SYSTEM_TIME_FIELD]);
    return ticks * NANOS_PER_TICK;
  }

  /**
   * Returns a description of the pause since the last check, or null if there was none; called far
   * more often than the shortest pause that is reported.
   */
  String check() {
    long nowNanos = clock.now();
    long usedNanos = cpuTimeNanos.getAsLong();
    String pause = null;
    if (nowNanos - lastCheckAtNanos > MIN_PAUSE_NANOS) {
      pause =
          "process paused for "
              + (nowNanos - lastCheckAtNanos) / NANOS_PER_MILLI
              + " ms, using "
              + (usedNanos - lastCpuTimeNanos) / NANOS_PER_MILLI
              + " ms of CPU time";
    }
    lastCheckAtNanos = nowNanos;
    lastCpuTimeNanos = usedNanos;
    return pause;
  }
}
