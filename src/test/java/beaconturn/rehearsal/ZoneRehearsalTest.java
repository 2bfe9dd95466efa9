package beaconturn.rehearsal;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import beaconturn.agreement.AgreementTiming;
import beaconturn.core.CacheServerClients;
import beaconturn.core.Lifecycle;
import beaconturn.decision.ServerStatus;
import beaconturn.decision.ZoneWeights;
import beaconturn.history.HistoryEvent;
import beaconturn.history.InvariantResult;
import beaconturn.net.RouterConfig;
import beaconturn.net.RouterServer;
import beaconturn.net.ZoneWeightsSource;
import beaconturn.net.agreement.AgreementConfig;
import beaconturn.net.agreement.AgreementSubsystem;
import beaconturn.net.agreement.ZonesSubsystem;
import beaconturn.stats.CacheLookup;
import beaconturn.zones.SimulatedFailover;
import beaconturn.zones.ZoneTopology;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Routers of three places, the store and faults between them, judged by what cache servers and the
 * store saw.
 */
@Timeout(120)
class ZoneRehearsalTest {
  private static final String DAY =
      """
        length = "16s"
        [fleet]
        caches = 9
        sites = ["east", "south", "west"]
        cold_for = "2s"
        [agreement]
        lease = "1s"
        [zones]
        each_per_s = 150
        back_within = "3s"
        [[router]]
        site = "east"
        [[router]]
        site = "east"
        [[router]]
        site = "south"
        [[router]]
        site = "west"
        [[clients]]
        rate = 200
        """;
  private static final String LOST =
      """
        [[fault]]
        kind = "kill"
        on = ["c1", "c4", "c7"]
        from = "4s"
        """;

  /** The list of the play comes late, and a machine may be slow. */
  private static final long MARGIN = 2_500_000_000L;

  @TempDir private Path folder;

  private static List<HistoryEvent.ZonePlanInForce> plans(RehearsalReport report) {
    return report.entries().stream()
        .filter(e -> e instanceof HistoryEvent.ZonePlanInForce)
        .map(e -> (HistoryEvent.ZonePlanInForce) e)
        .toList();
  }

  private static List<String> broken(RehearsalReport report) {
    return report.verdicts().stream()
        .filter(v -> !v.held())
        .map(InvariantResult::invariant)
        .toList();
  }

  @Test
  void theKeysOfALostPlaceGoElsewhereInSecondsAndNobodyIsPushedOver() throws Exception {
    RehearsalTestRunner.of(
        DAY + LOST,
        ProcessLauncher.ofCurrentProgram("beaconturn.cli.Main"),
        folder,
        (report, logs) -> {
          assertEquals(List.of(), broken(report), report.text());
          List<HistoryEvent.ZonePlanInForce> plans = plans(report);
          assertTrue(
              !plans.isEmpty() && plans.get(0).weights().get("east").get("east") <= 50,
              report.text());
          long after = plans.get(0).atNanos() - report.start();
          assertTrue(after < 9_000_000_000L, "within five seconds: " + after);
          // The model and the processes say the same of it, or the model is wrong.
          long twin =
              SimulatedFailover.decidedAfter(report.scenario().agreement().timing(), 3, 1, 50);
          assertTrue(
              Math.abs(report.crossings().decidedAfterNanos() - twin) < MARGIN,
              "in the model after " + twin + " ns\n" + report.text());
        });
  }

  /** What a router is made to do that it should not. */
  private enum Defect {
    IGNORES_SHARES,
    LIES
  }

  /**
   * One that ignores what is decided is named; one that finds all places bad, whatever they are,
   * moves nothing.
   */
  @ParameterizedTest
  @EnumSource(Defect.class)
  void aPlantedRouterIsNamedOrMovesNothing(Defect defect) throws Exception {
    RehearsalTestRunner.of(
        DAY.replace("16s", "10s"),
        new FirstRouterDefectiveLauncher(features -> config -> planted(defect, features, config)),
        folder,
        (report, logs) -> {
          if (defect == Defect.LIES) {
            assertEquals(List.of(), broken(report), report.text());
            assertEquals(List.of(), plans(report), report.text());
          } else {
            assertEquals(List.of("kept-near", "one-decision"), broken(report), report.text());
            assertTrue(
                report.verdicts().stream()
                    .flatMap(v -> v.violations().stream())
                    .allMatch(
                        o ->
                            !o.description().startsWith("router")
                                || o.description().startsWith("router 0 ")),
                report.text());
          }
        });
  }

  private static RouterServer planted(Defect defect, Path features, RouterConfig config)
      throws IOException {
    Matcher port = Pattern.compile("127\\.0\\.0\\.1:([0-9]+)").matcher(Files.readString(features));
    assertTrue(port.find());
    AgreementConfig agreement =
        new AgreementConfig(
            List.of(new InetSocketAddress("127.0.0.1", Integer.parseInt(port.group(1)))),
            "/rehearsal",
            new AgreementTiming(1_000_000_000, 0.01, 500_000_000),
            null);
    ZoneTopology map =
        new ZoneTopology(new TreeMap<>(Map.of("east", "", "south", "", "west", "")), 150, 1e6, 50);
    return new RouterServer(
        config,
        () -> config,
        new Lifecycle(),
        new AgreementSubsystem(agreement, config),
        new Planted(defect, new ZonesSubsystem(agreement, map, config)));
  }

  /** Its defect stands between the router and its sound part. */
  private record Planted(Defect defect, ZonesSubsystem sound) implements ZoneWeightsSource {
    @Override
    public void run() {
      sound.run();
    }

    @Override
    public ZoneWeights dueWeights() {
      return defect == Defect.IGNORES_SHARES ? ZoneWeights.ANYWHERE : sound.dueWeights();
    }

    @Override
    public void serverStatuses(Map<CacheServerClients.ListedServer, ServerStatus> caches) {
      Map<CacheServerClients.ListedServer, ServerStatus> told = new HashMap<>(caches);
      if (defect == Defect.LIES) {
        told.replaceAll((listed, standing) -> ServerStatus.EJECTED);
      }
      sound.serverStatuses(told);
    }

    @Override
    public void requestRouted() {
      sound.requestRouted();
    }

    @Override
    public void attemptEnded(
        long server, boolean good, CacheLookup lookup, long took, boolean late) {
      sound.attemptEnded(server, good, lookup, took, late);
    }

    @Override
    public void leave() {
      sound.leave();
    }
  }
}
