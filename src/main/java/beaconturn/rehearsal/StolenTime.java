package beaconturn.rehearsal;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * How long the host kept a processor of this machine for others, as Linux tells it for a virtual
 * machine: {@code steal} in {@code proc(5)}, in ticks of 10 ms. A thread that runs on another
 * processor meanwhile does not see it, and what stands on the one that was taken does not go on.
 */
final class StolenTime {
  private static final Path STAT = Path.of("/proc/stat");
  private static final long TICK = 10_000_000;

  /** The word of a line of {@code /proc/stat} that holds what was stolen. */
  private static final int STEAL = 8;

  private final Map<String, Long> known = new HashMap<>();

  /**
   * Nanoseconds since the last call of the processor that was kept from us for longest; 0 at first.
   */
  long since() {
    try {
      return Files.exists(STAT) ? since(Files.readAllLines(STAT)) : 0;
    } catch (IOException e) {
      // Limits are then what they are on a machine that tells nothing.
      return 0;
    }
  }

  /** The same by the lines of {@code /proc/stat}. */
  long since(List<String> lines) {
    long most = 0;
    for (String line : lines) {
      String[] words = line.split(" ");
      // The line of all processors together is "cpu" and has two spaces behind it.
      if (words[0].matches("cpu[0-9]+") && words.length > STEAL) {
        long stolen = Long.parseLong(words[STEAL]);
        Long before = known.put(words[0], stolen);
        most = before == null ? most : Math.max(most, stolen - before);
      }
    }
    return most * TICK;
  }
}
