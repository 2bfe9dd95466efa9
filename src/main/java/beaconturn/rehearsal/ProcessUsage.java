package beaconturn.rehearsal;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * Resident memory and thread count of a process, read from Linux' {@code /proc}; 0 for what is not
 * known.
 */
record ProcessUsage(long memoryKb, int threads) {
  private static final ProcessUsage UNKNOWN = new ProcessUsage(0, 0);

  /** Reads the current usage of a process. */
  static ProcessUsage of(long pid) {
    Path status = Path.of("/proc/" + pid + "/status");
    if (pid < 0 || !Files.exists(status)) {
      return UNKNOWN;
    }
    long memoryKb = 0;
    int threads = 0;
    try {
      for (String line : Files.readAllLines(status)) {
        if (line.startsWith("VmRSS:")) {
          memoryKb = Long.parseLong(line.replaceAll("[^0-9]", ""));
        } else if (line.startsWith("Threads:")) {
          threads = Integer.parseInt(line.replaceAll("[^0-9]", ""));
        }
      }
    } catch (IOException e) {
      // The process has just ended.
      return UNKNOWN;
    }
    return new ProcessUsage(memoryKb, threads);
  }

  /** Returns the larger value of each figure. */
  ProcessUsage max(ProcessUsage other) {
    return new ProcessUsage(Math.max(memoryKb, other.memoryKb), Math.max(threads, other.threads));
  }
}
