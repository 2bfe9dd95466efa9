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

/** Short plays with routers as processes of their own, started as operators start them. */
class RehearsalTest {
  private static final String MAIN = "beaconturn.cli.Main";
  @TempDir private Path folder;
  private final List<String> progress = new ArrayList<>();

  private void play(String text, RehearsalTestRunner.Shows shows) throws Exception {
    RehearsalTestRunner.of(
        text,
        ProcessLauncher.ofCurrentProgram(MAIN),
        folder,
        progress::add,
        (report, logs) -> {
          assertEquals(
              List.of(),
              report.verdicts().stream()
                  .filter(v -> !v.held())
                  .map(InvariantResult::invariant)
                  .toList(),
              report.text());
          shows.in(report, logs);
        });
  }

  /**
   * The hard cases of servers in one play: a stall behind slow answers, a late drain, a cold
   * successor.
   */
  @Test
  void aStallALateDrainAndAReplacementBreakNothing() throws Exception {
    play(
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
          ClientStatistics.ClassSummary levels = report.classes().get(0);
          assertTrue(levels.served() > levels.requests() * 9 / 10, report.text());
          assertTrue(report.text().contains("no-effect-twice  held"), report.text());
          assertTrue(report.json().contains("\"held\":true"));
          assertTrue(progress.stream().anyMatch(p -> p.contains("stall c3")), progress.toString());
          assertTrue(Files.readString(logs.resolve("r1.log")).contains("DRAINING -> STOPPED"));
        });
  }

  /**
   * Every cache server goes, one after the other; each successor is cold, at the address of its
   * predecessor.
   */
  @Test
  void aFleetThatIsReplacedWholeIsNotPushedOverWhileItIsCold() throws Exception {
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
    for (int i = 1; i <= 4; i++) {
      text.append(
          String.format(
              "[[fault]]%nkind = \"replace\"%non = [\"c%d\"]%nfrom = \"%ds\"%n"
                  + "to = \"%d.5s\"%n",
              i, i, i));
    }
    play(
        text.toString(),
        (report, logs) -> {
          InvariantResult cold =
              report.verdicts().stream()
                  .filter(v -> v.invariant().equals("cold-kept"))
                  .findFirst()
                  .orElseThrow();
          assertTrue(
              cold.checked() > 50, "cold servers got work in " + cold.checked() + " windows");
          assertTrue(Files.readString(logs.resolve("r1.log")).contains("cache server c4-2 at"));
        });
  }

  /**
   * Killed with requests out: what it held is its clients' to retry, and nothing else is excused.
   */
  @Test
  void aRouterThatIsKilledAndOneThatIsRestartedLoseNothingThatWasTaken() throws Exception {
    play(
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
              report.classes().stream().mapToLong(ClientStatistics.ClassSummary::undelivered).sum() > 0,
              report.text());
          assertEquals(
              2,
              Files.readString(logs.resolve("r1.log"))
                  .lines()
                  .filter(l -> l.contains("serves on"))
                  .count());
        });
  }

  @Test
  void aRouterThatDoesNotStartIsSaidWithItsLastWord() throws Exception {
    Path jar = folder.resolve("no.jar");
    Scenario scenario = ScenarioReader.read("day.toml", "length = \"1s\"", null);
    IOException e =
        assertThrows(
            IOException.class,
            () -> new Rehearsal(scenario, ProcessLauncher.ofJar(jar), folder, progress::add).run());
    assertTrue(e.getMessage().startsWith("router r1 did not get ready: "), e.getMessage());
    assertTrue(e.getMessage().contains("no.jar"), e.getMessage());
  }
}
