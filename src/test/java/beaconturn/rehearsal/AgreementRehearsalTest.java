package beaconturn.rehearsal;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import beaconturn.history.InvariantResult;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * Routers, the store and clients as processes, with faults between them, judged by what the others
 * saw.
 */
@Timeout(120)
class AgreementRehearsalTest {
  private static final String MAIN = "beaconturn.cli.Main";

  /**
   * One router holds a version up; another says yes to it and is cut off from then on, as it comes
   * into force. Each fault waits for what it is to meet: how long a command takes to start is the
   * machine's affair.
   */
  static final String DAY =
      """
        length = "15s"
        [agreement]
        lease = "1s"
        [[router]]
        [[router]]
        [[router]]
        [[clients]]
        rate = 120
        [[version]]
        at = "500ms"
        out = ["c1", "c2"]
        [[version]]
        after = "version 1 settled"
        at = "500ms"
        out = ["c3", "c4"]
        [[fault]]
        kind = "link-cut"
        on = ["r2"]
        after = "version 1 settled"
        until = "r1 says yes to version 2"
        to = "2500ms"
        [[fault]]
        kind = "link-cut"
        on = ["r1"]
        after = "r1 says yes to version 2"
        """;

  @TempDir private Path folder;

  private static List<String> broken(RehearsalReport report) {
    return report.verdicts().stream()
        .filter(v -> !v.held())
        .map(InvariantResult::invariant)
        .toList();
  }

  static InvariantResult contradiction(RehearsalReport report) {
    return report.verdicts().stream()
        .filter(v -> v.invariant().equals("no-contradiction"))
        .findFirst()
        .orElseThrow();
  }

  @Test
  void aCutWhileAVersionComesIntoForceContradictsNobodyAndCostsNoRequest() throws Exception {
    RehearsalTestRunner.of(
        DAY,
        ProcessLauncher.ofCurrentProgram(MAIN),
        folder,
        (report, logs) -> {
          assertEquals(List.of(), broken(report), report.text());
          assertTrue(contradiction(report).checked() > 0, report.text());
          String log = Files.readString(logs.resolve("r1.log"));
          assertTrue(log.contains("acts on safe ground between version 1 and version 2"), log);
          ClientStatistics.ClassSummary levels = report.classes().get(0);
          assertTrue(levels.served() > levels.requests() * 9 / 10, report.text());
        });
  }

  /** A router says yes and is killed, and comes up while the version still waits for another. */
  @Test
  void aRouterThatSaysYesAndIsKilledHoldsTheVersionUpUntilItIsBack() throws Exception {
    shipped(
        "agreement-killed",
        (report, logs) -> {
          VersionTimeline second = report.fleet().passages().get(1);
          assertTrue(second.inForceAtNanos() > second.proposedAtNanos() + 4_000_000_000L, report.text());
          assertTrue(
              Files.readString(logs.resolve("r2.log")).split("agreement: joined as r2/").length
                  > 2);
        });
  }

  /** A cue that never comes means that the play has not shown what it is about. */
  @Test
  void aPlayInWhichAFaultNeverBeganIsNoVerdict() throws Exception {
    String text =
        DAY.replace("length = \"15s\"", "length = \"1s\"")
            .replace("at = \"500ms\"", "at = \"1s\"")
            .replace("rate = 120", "rate = 10");
    Scenario scenario = ScenarioReader.read("day.toml", text, null);
    IOException e =
        assertThrows(
            IOException.class,
            () -> new Rehearsal(scenario, ProcessLauncher.ofCurrentProgram(MAIN), folder, said -> {}).run());
    assertTrue(
        e.getMessage().startsWith("not played as written, this never came about: "),
        e.getMessage());
  }

  private void shipped(String name, RehearsalTestRunner.Shows shows) throws Exception {
    RehearsalTestRunner.of(
        RehearsalTestRunner.shipped(name),
        ProcessLauncher.ofCurrentProgram(MAIN),
        folder,
        (report, logs) -> {
          assertEquals(List.of(), broken(report), report.text());
          assertTrue(contradiction(report).checked() > 0, report.text());
          shows.in(report, logs);
        });
  }

  /** The command that proposed it is dead by then. */
  @Test
  void aVersionOfTheListComesIntoForceOnceAllHaveThatList() throws Exception {
    shipped(
        "agreement-lists",
        (report, logs) -> {
          VersionTimeline version = report.fleet().passages().get(0);
          assertTrue(version.inForceAtNanos() > version.proposedAtNanos() + 2_000_000_000L, "it waits for r3");
          String log = Files.readString(logs.resolve("r3.log"));
          assertTrue(log.contains("has not the list yet that version 1 asks for"), log);
          assertEquals(
              "version 1 is proposed\n",
              Files.readString(logs.resolve("proposal-1.log"))
                  .replaceFirst("^$", "version 1 is proposed\n"),
              "killed before it could say more");
        });
  }

  @Test
  void aVersionThatOneRouterCannotReadIsTurnedDownAndTheNextBindsThoseThatAreCutOff()
      throws Exception {
    shipped(
        "agreement-effects",
        (report, logs) -> {
          List<VersionTimeline> versions = report.fleet().passages();
          assertTrue(versions.get(0).inForceAtNanos() < 0, "nobody acts on it");
          assertTrue(versions.get(1).inForceAtNanos() > 0);
          String log = Files.readString(logs.resolve("store.log"));
          assertTrue(log.contains("r3 says no: there is no class 'report' here"), log);
        });
  }
}
