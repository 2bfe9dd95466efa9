package beaconturn.rehearsal;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.function.Consumer;
import org.opentest4j.AssertionFailedError;

/**
 * Runs rehearsals for tests. A failed rehearsal is repeated, with at most three runs, only if the
 * machine was paused for a large part of it or if a fault never started; otherwise it fails at
 * once.
 */
final class RehearsalTestRunner {
  private static final int MAX_RUNS = 3;

  /** The assertions of a test on the result of a rehearsal. */
  interface ReportAssertions {
    /** Checks the report and the logs in the folder of that run. */
    void verify(RehearsalReport report, Path folder) throws Exception;
  }

  private RehearsalTestRunner() {}

  /** Runs the text of a scenario in a new folder below the parent folder. */
  static void runScenario(
      String text, RouterLauncher launcher, Path parentFolder, ReportAssertions assertions)
      throws Exception {
    runScenario(text, launcher, parentFolder, progressLine -> {}, assertions);
  }

  /** As above, and reports the progress. */
  static void runScenario(
      String text,
      RouterLauncher launcher,
      Path parentFolder,
      Consumer<String> progress,
      ReportAssertions assertions)
      throws Exception {
    Scenario scenario = ScenarioReader.read("day.toml", text, null);
    for (int run = 1; ; run++) {
      Path folder = Files.createDirectory(parentFolder.resolve("run-" + run));
      RehearsalReport report = null;
      try {
        report = new Rehearsal(scenario, launcher, folder, progress).run();
        assertions.verify(report, folder);
        return;
      } catch (AssertionFailedError e) {
        if (run == MAX_RUNS || !report.disturbedByPauses()) {
          throw e;
        }
        System.out.println(
            "rehearsal repeated, " + report.pauseDescription() + ": " + e.getMessage());
      } catch (IOException e) {
        if (run == MAX_RUNS || !e.getMessage().startsWith("not played as written")) {
          throw e;
        }
        System.out.println("rehearsal repeated: " + e.getMessage());
      }
    }
  }

  /** Returns the text of a shipped scenario. */
  static String shippedScenario(String name) throws IOException {
    return Files.readString(Path.of("examples", "rehearsals", name + ".toml"));
  }
}
