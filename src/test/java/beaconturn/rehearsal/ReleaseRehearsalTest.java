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

/** Releases over routers, agents and the store as processes, with faults between them. */
@Timeout(120)
class ReleaseRehearsalTest {
  @TempDir private Path folder;

  private void play(String text, RehearsalTestRunner.Shows shows) throws Exception {
    RehearsalTestRunner.of(
        text,
        ProcessLauncher.ofCurrentProgram("beaconturn.cli.Main"),
        folder,
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

  private static List<Integer> changed(RehearsalReport report, boolean released) {
    return report.entries().stream()
        .filter(e -> e instanceof HistoryEvent.VariantChangeBegun c && c.released() == released)
        .map(e -> ((HistoryEvent.VariantChangeBegun) e).router())
        .sorted()
        .toList();
  }

  @Test
  void aReleaseWhoseDriversAreKilledAndPausedRestartsEachRouterOnce() throws Exception {
    // Four routers where the scenario has six, for the sake of time.
    play(
        RehearsalTestRunner.shipped("release-rolls")
            .replace("count = 3", "count = 2")
            .replace("length = \"45s\"", "length = \"32s\""),
        (report, logs) -> {
          assertEquals("done", report.ending(), report.text());
          assertEquals(List.of(0, 1, 2, 3), changed(report, true), report.text());
          assertEquals(List.of(), changed(report, false));
        });
  }

  /**
   * Killed in its step, it is started by its agent; the fault's end finds it running and lets it
   * be.
   */
  @Test
  void whatAnAgentHasStartedIsNotStruckByTheEndOfAnEarlierFault() throws Exception {
    play(
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
          assertEquals("done", report.ending(), report.text());
          assertEquals(2, Files.readString(logs.resolve("r1.log")).split("serves on").length - 1);
        });
  }

  /** Two of the scenario's six, for the sake of time. */
  @Test
  void cacheServersAreRestartedOneAfterTheOtherAsTheyGetWarm() throws Exception {
    play(
        RehearsalTestRunner.shipped("release-caches")
                .replace("length = \"50s\"", "length = \"26s\"")
                .replace("cold_for = \"4s\"", "cold_for = \"2s\"")
            + "wave = [{parts = [\"c1\", \"c3\"]}]\n",
        (report, logs) -> {
          assertEquals("done", report.ending(), report.text());
          assertEquals(
              List.of("c1", "c3"),
              report.entries().stream()
                  .filter(e -> e instanceof HistoryEvent.VariantChangeBegun)
                  .map(e -> ((HistoryEvent.VariantChangeBegun) e).instanceId())
                  .toList());
        });
  }

  @Test
  void settingsComeIntoForceBeforeTheFirstStepAndGoBackWithTheRelease() throws Exception {
    play(
        RehearsalTestRunner.shipped("release-settings").replace("length = \"30s\"", "length = \"20s\""),
        (report, logs) -> {
          assertEquals("back", report.ending(), report.text());
          List<VersionTimeline> versions = report.fleet().passages();
          long first =
              report.entries().stream()
                  .filter(e -> e instanceof HistoryEvent.VariantChangeBegun)
                  .mapToLong(HistoryEvent::atNanos)
                  .min()
                  .orElseThrow();
          assertEquals(2, versions.size());
          assertTrue(
              versions.get(0).settledAtNanos() > 0 && versions.get(0).settledAtNanos() < first, report.text());
          assertTrue(versions.get(1).inForceAtNanos() > 0, report.text());
        });
  }

  @Test
  void whatHarmsIsSeenAtTheFirstRouterAndGoesBackByItself() throws Exception {
    play(
        RehearsalTestRunner.shipped("release-harms"),
        (report, logs) -> {
          assertEquals("back", report.ending(), report.text());
          assertEquals(List.of(0), changed(report, true), report.text());
          assertEquals(List.of(0), changed(report, false), report.text());
          // Whichever of the agents drives the release says so.
          StringBuilder said = new StringBuilder();
          for (int i = 1; i <= 4; i++) {
            said.append(Files.readString(logs.resolve("r" + i + ".agent.log")));
          }
          assertTrue(said.toString().contains("goes back: r1 does worse"), said.toString());
        });
  }
}
