package beaconturn.rehearsal;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * What a process holds, as Linux tells under {@code /proc}: memory in kB and threads; 0 where it is
 * not known.
 */
record ProcessUsage(long memoryKb, int threads) {
  private static final ProcessUsage UNKNOWN = new ProcessUsage(0, 0);

  /** Of a process as it is now. */
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
      // It has just ended.
      return UNKNOWN;
    }
    return new ProcessUsage(memoryKb, threads);
  }

  /** The larger figure of both. */
  ProcessUsage max(ProcessUsage other) {
    return new ProcessUsage(Math.max(memoryKb, other.memoryKb), Math.max(threads, other.threads));
  }
}
