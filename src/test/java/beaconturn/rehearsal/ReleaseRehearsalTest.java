package beaconturn.rehearsal;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import beaconturn.history.HistoryEvent;
import beaconturn.history.InvariantResult;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Releases with routers, agents and the store as processes, and faults of each. */
@Timeout(120)
class ReleaseRehearsalTest {
  @TempDir private Path folder;

  private void runWithoutViolation(String text, RehearsalTestRunner.ReportAssertions assertions)
      throws Exception {
    RehearsalTestRunner.runScenario(
        text,
        ProcessLauncher.ofCurrentProgram("beaconturn.cli.Main"),
        folder,
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

  private static List<Integer> changedRouters(RehearsalReport report, boolean released) {
    return report.events().stream()
        .filter(
            event ->
                event instanceof HistoryEvent.VariantChangeStarted change
                    && change.toReleased() == released)
        .map(event -> ((HistoryEvent.VariantChangeStarted) event).router())
        .sorted()
        .toList();
  }

  @Test
  void restartsEachRouterOnceAlthoughDriversAreKilledAndPaused() throws Exception {
    // Four routers instead of the scenario's six, to save time.
    runWithoutViolation(
        RehearsalTestRunner.shippedScenario("release-rolls")
            .replace("count = 3", "count = 2")
            .replace("length = \"45s\"", "length = \"32s\""),
        (report, logs) -> {
          assertEquals("done", report.releaseOutcome(), report.text());
          assertEquals(List.of(0, 1, 2, 3), changedRouters(report, true), report.text());
          assertEquals(List.of(), changedRouters(report, false));
        });
  }

  /** The router is killed in its step and restarted by its agent, before the fault ends. */
  @Test
  void endOfFaultKeepsProcessThatAgentHasStarted() throws Exception {
    runWithoutViolation(
        """
            length = "16s"
            [agreement]
            lease = "1s"
            [[router]]
            count = 2
            [[clients]]
            rate = 60
            [release]
            at = "500ms"
            soak = "500ms"
            samples = 5
            wave = [{parts = ["r1"]}]
            [[fault]]
            kind = "router-kill"
            on = ["r1"]
            after = "r1 goes out"
            from = "100ms"
            to = "3s"
            """,
        (report, logs) -> {
          assertEquals("done", report.releaseOutcome(), report.text());
          assertEquals(2, Files.readString(logs.resolve("r1.log")).split("serves on").length - 1);
        });
  }

  /** Releases two of the scenario's six cache servers, to save time. */
  @Test
  void restartsCacheServersOneAfterAnotherAsTheyWarmUp() throws Exception {
    runWithoutViolation(
        RehearsalTestRunner.shippedScenario("release-caches")
                .replace("length = \"50s\"", "length = \"26s\"")
                .replace("cold_for = \"4s\"", "cold_for = \"2s\"")
            + "wave = [{parts = [\"c1\", \"c3\"]}]\n",
        (report, logs) -> {
          assertEquals("done", report.releaseOutcome(), report.text());
          assertEquals(
              List.of("c1", "c3"),
              report.events().stream()
                  .filter(event -> event instanceof HistoryEvent.VariantChangeStarted)
                  .map(event -> ((HistoryEvent.VariantChangeStarted) event).instanceId())
                  .toList());
        });
  }

  @Test
  void settingsComeIntoForceBeforeFirstStepAndAreRolledBackWithRelease() throws Exception {
    runWithoutViolation(
        RehearsalTestRunner.shippedScenario("release-settings")
            .replace("length = \"30s\"", "length = \"20s\""),
        (report, logs) -> {
          assertEquals("back", report.releaseOutcome(), report.text());
          List<VersionTimeline> versions = report.agreementSummary().versions();
          long firstStepNanos =
              report.events().stream()
                  .filter(event -> event instanceof HistoryEvent.VariantChangeStarted)
                  .mapToLong(HistoryEvent::atNanos)
                  .min()
                  .orElseThrow();
          assertEquals(2, versions.size());
          assertTrue(
              versions.get(0).settledAtNanos() > 0
                  && versions.get(0).settledAtNanos() < firstStepNanos,
              report.text());
          assertTrue(versions.get(1).inForceAtNanos() > 0, report.text());
        });
  }

  @Test
  void rollsBackAfterFirstRouterIfReleaseIsHarmful() throws Exception {
    runWithoutViolation(
        RehearsalTestRunner.shippedScenario("release-harms"),
        (report, logs) -> {
          assertEquals("back", report.releaseOutcome(), report.text());
          assertEquals(List.of(0), changedRouters(report, true), report.text());
          assertEquals(List.of(0), changedRouters(report, false), report.text());
          // Any of the agents may have driven the release.
          StringBuilder agentLogs = new StringBuilder();
          for (int router = 1; router <= 4; router++) {
            agentLogs.append(Files.readString(logs.resolve("r" + router + ".agent.log")));
          }
          assertTrue(
              agentLogs.toString().contains("goes back: r1 does worse"), agentLogs.toString());
        });
  }
}
