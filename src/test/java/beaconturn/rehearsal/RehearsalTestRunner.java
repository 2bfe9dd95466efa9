package beaconturn.rehearsal;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.function.Consumer;
import org.opentest4j.AssertionFailedError;

/**
 * RehearsalTestRunner for tests. A machine that stands still for a good part of a play shows its own faults and
 * not the routers': such a play that does not show what it should is played again, three times at
 * the most, and so is one in which a fault never began; on a machine that runs it fails at once.
 */
final class RehearsalTestRunner {
  private static final int MOST = 3;

  /** What a play has to show; throws an {@link AssertionError} where it does not. */
  interface Shows {
    /** By the report and the folder with the logs of that play. */
    void in(RehearsalReport report, Path folder) throws Exception;
  }

  private RehearsalTestRunner() {}

  /** RehearsalTestRunner the text of a scenario below a folder until it was shown. */
  static void of(String text, RouterLauncher launcher, Path below, Shows shows) throws Exception {
    of(text, launcher, below, said -> {}, shows);
  }

  /** The same, and tells how far it is. */
  static void of(
      String text, RouterLauncher launcher, Path below, Consumer<String> progress, Shows shows)
      throws Exception {
    Scenario scenario = ScenarioReader.read("day.toml", text, null);
    for (int i = 1; ; i++) {
      Path folder = Files.createDirectory(below.resolve("play-" + i));
      RehearsalReport report = null;
      try {
        report = new Rehearsal(scenario, launcher, folder, progress).run();
        shows.in(report, folder);
        return;
      } catch (AssertionFailedError e) {
        if (i == MOST || !report.disturbed()) {
          throw e;
        }
        System.out.println("played again, " + report.stoodStill() + ": " + e.getMessage());
      } catch (IOException e) {
        if (i == MOST || !e.getMessage().startsWith("not played as written")) {
          throw e;
        }
        System.out.println("played again: " + e.getMessage());
      }
    }
  }

  /** The text of a scenario that is shipped. */
  static String shipped(String name) throws IOException {
    return Files.readString(Path.of("examples", "rehearsals", name + ".toml"));
  }
}
