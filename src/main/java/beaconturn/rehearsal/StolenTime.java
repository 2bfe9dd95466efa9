package beaconturn.rehearsal;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Measures how long the host of a virtual machine kept one of its processors from running: {@code
 * steal} in {@code proc(5)}, in ticks of 10 ms. Needed beside the measurement of pauses by a
 * thread, as that thread does not notice when another processor was taken.
 */
final class StolenTime {
  private static final Path STAT_FILE = Path.of("/proc/stat");
  private static final long NANOS_PER_TICK = 10_000_000;

  /** Index of the field for stolen time in a line of {@code /proc/stat}. */
  private static final int STEAL_FIELD = 8;

  private final Map<String, Long> lastTicksByCpu = new HashMap<>();

  /**
   * Returns the stolen time since the last call, in nanoseconds, of the processor that lost most; 0
   * for the first call.
   */
  long nanosSinceLastCall() {
    try {
      return Files.exists(STAT_FILE) ? nanosSinceLastCall(Files.readAllLines(STAT_FILE)) : 0;
    } catch (IOException e) {
      // Treated like a machine that does not report stolen time.
      return 0;
    }
  }

  /** Like {@link #nanosSinceLastCall()}, for the given lines of {@code /proc/stat}. */
  long nanosSinceLastCall(List<String> lines) {
    long maxTicks = 0;
    for (String line : lines) {
      String[] fields = line.split(" ");
      // The line for all processors starts with "cpu" and two spaces.
      if (fields[0].matches("cpu[0-9]+") && fields.length > STEAL_FIELD) {
        long stealTicks = Long.parseLong(fields[STEAL_FIELD]);
        Long previousTicks = lastTicksByCpu.put(fields[0], stealTicks);
        maxTicks =
            previousTicks == null ? maxTicks : Math.max(maxTicks, stealTicks - previousTicks);
      }
    }
    return maxTicks * NANOS_PER_TICK;
  }
}
