package beaconturn.rehearsal;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import beaconturn.cli.EmbeddedLauncher;
import beaconturn.history.InvariantResult;
import beaconturn.net.BrokenRouter;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Each defect of a router has to violate its invariant; a check that cannot fail proves nothing. */
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

  private void runWithDefect(BrokenRouter.Defect defect, String scenarioPart, Consumer<List<String>> violated)
      throws Exception {
    Path parentFolder = Files.createDirectory(folder.resolve(defect.name()));
    RehearsalTestRunner.runScenario(
        SCENARIO + scenarioPart,
        launcher(defect),
        parentFolder,
        (report, logs) -> {
          assertTrue(
              report.classSummaries().stream().mapToLong(ClientStatistics.ClassSummary::served).sum() > 100,
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
    "ANSWERS_TWICE, one-answer, none",
    "LOSES, one-answer, none",
    "SWAPS_ANSWERS, made-for-it, none",
    "REPEATS_UNSAFE, no-effect-twice, resets",
    "IGNORES_DRAINS, drains-kept, drain",
    "OVERRUNS_COLD, cold-kept, restart",
    "ENDS_AT_REJECTION, one-answer, pipelines",
    "ENDS_OVER_COMMANDS, one-answer, pieces"
  })
  void defectViolatesItsInvariantAndNoDefectViolatesNone(
      BrokenRouter.Defect defect, String invariant, String partName) throws Exception {
    String scenarioPart =
        switch (partName) {
          case "resets" -> RESETS;
          case "drain" -> DRAIN;
          case "restart" -> RESTART;
          case "pipelines" -> PIPELINES;
          case "pieces" -> PIECES;
          default -> "";
        };
    runWithDefect(defect, scenarioPart, violated -> assertTrue(violated.contains(invariant), defect + " violated " + violated));
    if (!scenarioPart.isEmpty() || defect == BrokenRouter.Defect.LOSES) {
      runWithDefect(BrokenRouter.Defect.NONE, scenarioPart, violated -> assertEquals(List.of(), violated));
    }
  }

  @Test
  void embeddedRouterCannotBeKilled() throws Exception {
    Scenario scenario =
        ScenarioReader.read("day.toml", "[[fault]]\nkind = \"router-kill\"\n", null);
    RouterLauncher launcher = launcher(BrokenRouter.Defect.NONE);
    IOException exception =
        assertThrows(
            IOException.class, () -> new Rehearsal(scenario, launcher, folder, text -> {}).run());
    assertEquals("router-kill needs routers that are processes of their own", exception.getMessage());
  }

  /** Returns a launcher of routers in this process with one defect. */
  private static RouterLauncher launcher(BrokenRouter.Defect defect) {
    return new EmbeddedLauncher(config -> BrokenRouter.of(defect, config));
  }
}
