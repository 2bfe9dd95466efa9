package beaconturn.rehearsal;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import beaconturn.history.InvariantResult;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Short rehearsals with routers as separate processes, started as operators start them. */
class RehearsalTest {
  private static final String MAIN_CLASS = "beaconturn.cli.Main";
  @TempDir private Path folder;
  private final List<String> progress = new ArrayList<>();

  private void runWithoutViolation(String text, RehearsalTestRunner.ReportAssertions assertions)
      throws Exception {
    RehearsalTestRunner.runScenario(
        text,
        ProcessLauncher.ofCurrentProgram(MAIN_CLASS),
        folder,
        progress::add,
        (report, logs) -> {
          assertEquals(
              List.of(),
              report.results().stream()
                  .filter(result -> !result.held())
                  .map(InvariantResult::invariant)
                  .toList(),
              report.text());
          assertions.verify(report, logs);
        });
  }

  /** A server that slows and stalls, one that is drained late, and one with a cold successor. */
  @Test
  void stallLateDrainAndReplacementViolateNoInvariant() throws Exception {
    runWithoutViolation(
        """
            length = "7s"
            [discovery]
            lag = "300ms"
            [[clients]]
            rate = 150
            [[fault]]
            kind = "slow"
            on = ["c3"]
            factor = 12
            from = "800ms"
            to = "1s"
            [[fault]]
            kind = "stall"
            on = ["c3"]
            from = "1s"
            to = "4s"
            [[fault]]
            kind = "drain-late"
            on = ["c2"]
            delay = "2s"
            from = "1s"
            to = "6s"
            [[fault]]
            kind = "replace"
            on = ["c5"]
            from = "2s"
            to = "3s"
            """,
        (report, logs) -> {
          ClientStatistics.ClassSummary levelClass = report.classSummaries().get(0);
          assertTrue(levelClass.served() > levelClass.requests() * 9 / 10, report.text());
          assertTrue(report.text().contains("no-effect-twice  held"), report.text());
          assertTrue(report.json().contains("\"held\":true"));
          assertTrue(
              progress.stream().anyMatch(line -> line.contains("stall c3")), progress.toString());
          assertTrue(Files.readString(logs.resolve("r1.log")).contains("DRAINING -> STOPPED"));
        });
  }

  /** Replaces all cache servers, one after another, by cold ones at the same addresses. */
  @Test
  void replacedFleetIsNotOverloadedWhileItIsCold() throws Exception {
    StringBuilder text =
        new StringBuilder(
            """
            length = "8s"
            [fleet]
            caches = 4
            cold_for = "3s"
            [discovery]
            lag = "200ms"
            """);
    for (int server = 1; server <= 4; server++) {
      text.append(
          String.format(
              "[[fault]]%nkind = \"replace\"%non = [\"c%d\"]%nfrom = \"%ds\"%n"
                  + "to = \"%d.5s\"%n",
              server, server, server));
    }
    runWithoutViolation(
        text.toString(),
        (report, logs) -> {
          InvariantResult coldInvariant =
              report.results().stream()
                  .filter(result -> result.invariant().equals("cold-kept"))
                  .findFirst()
                  .orElseThrow();
          assertTrue(
              coldInvariant.checked() > 50,
              "cold servers received requests in " + coldInvariant.checked() + " windows");
          assertTrue(Files.readString(logs.resolve("r1.log")).contains("cache server c4-2 at"));
        });
  }

  /** Only requests in flight at the killed router may fail; clients retry them. */
  @Test
  void killedAndRestartedRoutersViolateNoInvariant() throws Exception {
    runWithoutViolation(
        """
            length = "9s"
            [[clients]]
            rate = 150
            retries = 3
            [[fault]]
            kind = "router-kill"
            on = ["r1"]
            from = "1s"
            to = "2s"
            [[fault]]
            kind = "router-term"
            on = ["r2"]
            from = "6s"
            to = "8950ms"
            """,
        (report, logs) -> {
          assertTrue(
              report.classSummaries().stream()
                      .mapToLong(ClientStatistics.ClassSummary::undelivered)
                      .sum()
                  > 0,
              report.text());
          assertEquals(
              2,
              Files.readString(logs.resolve("r1.log"))
                  .lines()
                  .filter(line -> line.contains("serves on"))
                  .count());
        });
  }

  @Test
  void reportsLastLogLineOfRouterThatDoesNotStart() throws Exception {
    Path jar = folder.resolve("no.jar");
    Scenario scenario = ScenarioReader.read("day.toml", "length = \"1s\"", null);
    IOException exception =
        assertThrows(
            IOException.class,
            () -> new Rehearsal(scenario, ProcessLauncher.ofJar(jar), folder, progress::add).run());
    assertTrue(
        exception.getMessage().startsWith("router r1 did not get ready: "), exception.getMessage());
    assertTrue(exception.getMessage().contains("no.jar"), exception.getMessage());
  }
}
