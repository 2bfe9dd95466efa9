package beaconturn.rehearsal;

import beaconturn.core.MachineArchitecture;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * The JVM options that {@code deploy/run.sh} starts a router with, apart from those for its heap.
 * For any thread.
 */
final class JvmOptions {
  private static final String COMMON_FILE = "jvm.options";
  private static final String X86_64_FILE = "jvm-x86_64.options";

  private JvmOptions() {}

  /** Returns the options for the machine that this program runs on. */
  static List<String> ofThisMachine() {
    return of(MachineArchitecture.ofThisMachine());
  }

  /**
   * Returns the options for a kind of machine.
   *
   * @param architecture a value of the property {@code os.arch}
   */
  static List<String> of(String architecture) {
    List<String> options = new ArrayList<>(read(COMMON_FILE));
    if (MachineArchitecture.isIntel64(architecture)) {
      options.addAll(read(X86_64_FILE));
    }
    return options;
  }

  private static List<String> read(String file) {
    try (InputStream in = JvmOptions.class.getResourceAsStream(file);
        BufferedReader lines =
            new BufferedReader(new InputStreamReader(in, StandardCharsets.UTF_8))) {
      return lines.lines().filter(line -> !line.isBlank() && !line.startsWith("#")).toList();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
