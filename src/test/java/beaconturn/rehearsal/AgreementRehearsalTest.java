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

/** Agreement on configuration versions between router processes, with faults on their links. */
@Timeout(120)
class AgreementRehearsalTest {
  private static final String MAIN_CLASS = "beaconturn.cli.Main";

  /**
   * The second version waits for r2, which is cut off; r1 is cut off once it has acknowledged that
   * version. Faults start on triggers, as the start-up time of commands varies.
   */
  static final String SCENARIO =
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

  private static List<String> violatedInvariants(RehearsalReport report) {
    return report.results().stream()
        .filter(result -> !result.held())
        .map(InvariantResult::invariant)
        .toList();
  }

  static InvariantResult contradictionResult(RehearsalReport report) {
    return report.results().stream()
        .filter(result -> result.invariant().equals("no-contradiction"))
        .findFirst()
        .orElseThrow();
  }

  @Test
  void linkCutWhileVersionComesIntoForceCausesNoContradictionAndNoLostRequest() throws Exception {
    RehearsalTestRunner.runScenario(
        SCENARIO,
        ProcessLauncher.ofCurrentProgram(MAIN_CLASS),
        folder,
        (report, logs) -> {
          assertEquals(List.of(), violatedInvariants(report), report.text());
          assertTrue(contradictionResult(report).checked() > 0, report.text());
          String log = Files.readString(logs.resolve("r1.log"));
          assertTrue(log.contains("acts on safe ground between version 1 and version 2"), log);
          ClientStatistics.ClassSummary levelClass = report.classSummaries().get(0);
          assertTrue(levelClass.served() > levelClass.requests() * 9 / 10, report.text());
        });
  }

  /** The router acknowledges, is killed, and is back while the version still waits for another. */
  @Test
  void versionWaitsForAcknowledgingRouterThatWasKilledUntilItIsBack() throws Exception {
    runShippedScenario(
        "agreement-killed",
        (report, logs) -> {
          VersionTimeline secondVersion = report.agreementSummary().versions().get(1);
          assertTrue(
              secondVersion.inForceAtNanos() > secondVersion.proposedAtNanos() + 4_000_000_000L,
              report.text());
          assertTrue(
              Files.readString(logs.resolve("r2.log")).split("agreement: joined as r2/").length
                  > 2);
        });
  }

  /** Guards against a rehearsal that passes although one of its faults was not injected. */
  @Test
  void failsIfFaultNeverStarted() throws Exception {
    String scenarioText =
        SCENARIO
            .replace("length = \"15s\"", "length = \"1s\"")
            .replace("at = \"500ms\"", "at = \"1s\"")
            .replace("rate = 120", "rate = 10");
    Scenario scenario = ScenarioReader.read("day.toml", scenarioText, null);
    IOException exception =
        assertThrows(
            IOException.class,
            () ->
                new Rehearsal(
                        scenario,
                        ProcessLauncher.ofCurrentProgram(MAIN_CLASS),
                        folder,
                        progressLine -> {})
                    .run());
    assertTrue(
        exception.getMessage().startsWith("not played as written, this never came about: "),
        exception.getMessage());
  }

  private void runShippedScenario(String name, RehearsalTestRunner.ReportAssertions assertions)
      throws Exception {
    RehearsalTestRunner.runScenario(
        RehearsalTestRunner.shippedScenario(name),
        ProcessLauncher.ofCurrentProgram(MAIN_CLASS),
        folder,
        (report, logs) -> {
          assertEquals(List.of(), violatedInvariants(report), report.text());
          assertTrue(contradictionResult(report).checked() > 0, report.text());
          assertions.verify(report, logs);
        });
  }

  /** The command that proposed the version is killed before it comes into force. */
  @Test
  void versionWithMinimumListComesIntoForceOnceAllRoutersHaveThatList() throws Exception {
    runShippedScenario(
        "agreement-lists",
        (report, logs) -> {
          VersionTimeline version = report.agreementSummary().versions().get(0);
          assertTrue(
              version.inForceAtNanos() > version.proposedAtNanos() + 2_000_000_000L,
              "waits for r3");
          String log = Files.readString(logs.resolve("r3.log"));
          assertTrue(log.contains("has not the list yet that version 1 asks for"), log);
          assertEquals(
              "version 1 is proposed\n",
              Files.readString(logs.resolve("proposal-1.log"))
                  .replaceFirst("^$", "version 1 is proposed\n"),
              "killed before it printed more");
        });
  }

  @Test
  void versionRejectedByOneRouterIsDroppedAndTheNextBindsRoutersThatAreCutOff() throws Exception {
    runShippedScenario(
        "agreement-effects",
        (report, logs) -> {
          List<VersionTimeline> versions = report.agreementSummary().versions();
          assertTrue(versions.get(0).inForceAtNanos() < 0, "no router acts on it");
          assertTrue(versions.get(1).inForceAtNanos() > 0);
          String log = Files.readString(logs.resolve("store.log"));
          assertTrue(log.contains("r3 says no: there is no class 'report' here"), log);
        });
  }
}
