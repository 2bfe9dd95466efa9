package beaconturn.rehearsal;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import beaconturn.cli.EmbeddedLauncher;
import beaconturn.history.InvariantResult;
import beaconturn.net.FaultyRouter;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Each defect of a router has to violate its invariant; a check that cannot fail proves nothing.
 */
class DefectiveRouterRehearsalTest {
  private static final String SCENARIO =
      """
        length = "3s"
        [fleet]
        caches = 3
        workers = 2
        cold_share = 0.05
        cold_for = "60s"
        fall_multiple = 1.2
        [discovery]
        lag = "100ms"
        [settings]
        drain_grace = "100ms"
        [[router]]
        [[clients]]
        rate = 200
        keys = 50
        """;
  private static final String RESETS =
      """
        [[fault]]
        kind = "reset"
        on = ["c1", "c2"]
        from = "200ms"
        """;
  private static final String DRAIN =
      """
        [[fault]]
        kind = "drain"
        on = ["c1", "c2"]
        from = "300ms"
        """;
  private static final String RESTART =
      """
        [[fault]]
        kind = "kill"
        on = ["c1", "c2"]
        from = "300ms"
        to = "600ms"
        """;

  /** Additional clients that pipeline commands, some of them invalid. */
  private static final String PIPELINES =
      """
        [[class]]
        name = "level"
        [[clients]]
        rate = 150
        pipeline = 8
        wrong = 0.2
        """;

  /** Additional clients that write commands in pieces. */
  private static final String PIECES =
      """
        [[clients]]
        rate = 100
        pieces = 1
        """;

  @TempDir private Path folder;

  private void runWithDefect(
      FaultyRouter.Defect defect, String scenarioPart, Consumer<List<String>> violated)
      throws Exception {
    Path parentFolder = Files.createDirectory(folder.resolve(defect.name()));
    RehearsalTestRunner.runScenario(
        SCENARIO + scenarioPart,
        launcher(defect),
        parentFolder,
        (report, logs) -> {
          assertTrue(
              report.classSummaries().stream()
                      .mapToLong(ClientStatistics.ClassSummary::served)
                      .sum()
                  > 100,
              report.text());
          violated.accept(
              report.results().stream()
                  .filter(result -> !result.held())
                  .map(InvariantResult::invariant)
                  .toList());
        });
  }

  @ParameterizedTest
  @CsvSource({
    "DUPLICATES_RESPONSES, one-answer, none",
    "LOSES_REQUESTS, one-answer, none",
    "SWAPS_RESPONSES, made-for-it, none",
    "RETRIES_NON_IDEMPOTENT, no-effect-twice, resets",
    "IGNORES_DRAINS, drains-kept, drain",
    "IGNORES_SLOW_START, cold-kept, restart",
    "CLOSES_ON_REJECTION, one-answer, pipelines",
    "CLOSES_ON_PARTIAL_COMMAND, one-answer, pieces"
  })
  void defectViolatesItsInvariantAndNoDefectViolatesNone(
      FaultyRouter.Defect defect, String invariant, String partName) throws Exception {
    String scenarioPart =
        switch (partName) {
          case "resets" -> RESETS;
          case "drain" -> DRAIN;
          case "restart" -> RESTART;
          case "pipelines" -> PIPELINES;
          case "pieces" -> PIECES;
          default -> "";
        };
    runWithDefect(
        defect,
        scenarioPart,
        violated -> assertTrue(violated.contains(invariant), defect + " violated " + violated));
    if (!scenarioPart.isEmpty() || defect == FaultyRouter.Defect.LOSES_REQUESTS) {
      runWithDefect(
          FaultyRouter.Defect.NONE, scenarioPart, violated -> assertEquals(List.of(), violated));
    }
  }

  @Test
  void embeddedRouterCannotBeKilled() throws Exception {
    Scenario scenario =
        ScenarioReader.read("day.toml", "[[fault]]\nkind = \"router-kill\"\n", null);
    RouterLauncher launcher = launcher(FaultyRouter.Defect.NONE);
    IOException exception =
        assertThrows(
            IOException.class, () -> new Rehearsal(scenario, launcher, folder, text -> {}).run());
    assertEquals(
        "router-kill needs routers that are processes of their own", exception.getMessage());
  }

  /** Returns a launcher of routers in this process with one defect. */
  private static RouterLauncher launcher(FaultyRouter.Defect defect) {
    return new EmbeddedLauncher(config -> FaultyRouter.of(defect, config));
  }
}
