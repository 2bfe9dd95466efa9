package beaconturn.rehearsal;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class JvmOptionsTest {
  private static final String SHADOW_PAGES = "-XX:StackShadowPages=10";

  @Test
  void virtualMachineOfThisMachineAcceptsOptions() throws Exception {
    List<String> command = new ArrayList<>();
    command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    command.addAll(JvmOptions.ofThisMachine());
    command.add("-version");
    Process process = new ProcessBuilder(command).redirectErrorStream(true).start();
    String output = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    assertTrue(process.waitFor(30, TimeUnit.SECONDS));
    assertEquals(0, process.exitValue(), output);
  }

  @Test
  void passesFewShadowPagesOnX86Only() {
    assertTrue(JvmOptions.of("amd64").contains(SHADOW_PAGES));
    assertFalse(JvmOptions.of("aarch64").contains(SHADOW_PAGES));
  }
}
