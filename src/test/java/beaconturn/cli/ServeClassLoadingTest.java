package beaconturn.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import beaconturn.net.FleetConfigSource;
import beaconturn.stats.Counters;
import java.io.BufferedReader;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * Checks that a router with no optional feature enabled loads no classes of these features, of the
 * test kit or of their libraries.
 */
@Timeout(60)
class ServeClassLoadingTest {
  private static final List<String> DISABLED_CLASSES =
      List.of(
          "beaconturn.standin.",
          "beaconturn.history.",
          "beaconturn.rehearsal.",
          "beaconturn.toml.",
          "beaconturn.agreement.",
          "beaconturn.release.",
          "beaconturn.net.agreement.",
          FleetConfigSource.class.getName(),
          "com.fasterxml.",
          "org.apache.commons.",
          "org.HdrHistogram.",
          "beaconturn.net.control.",
          existingClass("beaconturn.net.OperatorOverrides"),
          Counters.class.getName(),
          " java.util.Formatter ");
  @TempDir private Path directory;

  /** Returns the name of an inaccessible class, and fails if the class was renamed. */
  private static String existingClass(String name) {
    try {
      return Class.forName(name, false, ServeClassLoadingTest.class.getClassLoader()).getName();
    } catch (ClassNotFoundException e) {
      throw new AssertionError(e);
    }
  }

  @Test
  void serveLoadsNoClassOfDisabledFeatures() throws IOException, InterruptedException {
    Path config = directory.resolve("config.json");
    Files.writeString(
        config,
        Files.readString(Path.of("examples", "config.json"))
            .replace("\"listen\": \"127.0.0.1:6379\"", "\"listen\": \"127.0.0.1:0\""));
    Path classLoadLog = directory.resolve("loaded");
    Process router =
        new ProcessBuilder(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-Xlog:class+load:file=" + classLoadLog,
                "-cp",
                System.getProperty("java.class.path"),
                Main.class.getName(),
                "serve",
                "--config",
                config.toString())
            .redirectErrorStream(true)
            .start();
    try (BufferedReader log = router.inputReader()) {
      String line = log.readLine();
      while (line != null && !line.contains(" serves on ")) {
        line = log.readLine();
      }
      assertTrue(line != null, "the router did not start");
    } finally {
      router.destroyForcibly().waitFor();
    }
    List<String> classes = Files.readAllLines(classLoadLog);
    assertTrue(
        classes.stream()
            .anyMatch(loadedClass -> loadedClass.contains("beaconturn.net.RouterServer")));
    assertEquals(
        List.of(),
        classes.stream()
            .filter(loadedClass -> DISABLED_CLASSES.stream().anyMatch(loadedClass::contains))
            .toList());
  }

  /** String concatenation by invokedynamic generates classes at run time, which slows the start. */
  @Test
  void codeHasNoDynamicStringConcatenation() throws Exception {
    Path classes = Path.of(Main.class.getProtectionDomain().getCodeSource().getLocation().toURI());
    try (Stream<Path> files = Files.walk(classes)) {
      for (Path file : files.filter(path -> path.toString().endsWith(".class")).toList()) {
        String code = Files.readString(file, StandardCharsets.ISO_8859_1);
        assertFalse(code.contains("makeConcatWithConstants"), file.toString());
      }
    }
  }
}
