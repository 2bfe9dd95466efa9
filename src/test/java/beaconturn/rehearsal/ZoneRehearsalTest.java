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

/** Routers in three zones that agree on zone weights, with the failure of a zone. */
@Timeout(120)
class ZoneRehearsalTest {
  private static final String SCENARIO =
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
  private static final String ZONE_FAILURE =
      """
        [[fault]]
        kind = "kill"
        on = ["c1", "c4", "c7"]
        from = "4s"
        """;

  /** Allows for the delay of endpoint updates and for a slow machine. */
  private static final long MARGIN_NANOS = 2_500_000_000L;

  @TempDir private Path folder;

  private static List<HistoryEvent.ZonePlanInForce> plans(RehearsalReport report) {
    return report.events().stream()
        .filter(event -> event instanceof HistoryEvent.ZonePlanInForce)
        .map(event -> (HistoryEvent.ZonePlanInForce) event)
        .toList();
  }

  private static List<String> violatedInvariants(RehearsalReport report) {
    return report.results().stream()
        .filter(result -> !result.held())
        .map(InvariantResult::invariant)
        .toList();
  }

  @Test
  void movesTrafficOfFailedZoneWithinSecondsWithoutOverload() throws Exception {
    RehearsalTestRunner.runScenario(
        SCENARIO + ZONE_FAILURE,
        ProcessLauncher.ofCurrentProgram("beaconturn.cli.Main"),
        folder,
        (report, logs) -> {
          assertEquals(List.of(), violatedInvariants(report), report.text());
          List<HistoryEvent.ZonePlanInForce> plans = plans(report);
          assertTrue(
              !plans.isEmpty() && plans.get(0).weights().get("east").get("east") <= 50,
              report.text());
          long decidedAfterNanos = plans.get(0).atNanos() - report.startNanos();
          assertTrue(
              decidedAfterNanos < 9_000_000_000L, "within five seconds: " + decidedAfterNanos);
          // The processes have to match the simulated fail-over.
          long simulatedNanos =
              SimulatedFailover.failoverDelayNanos(
                  report.scenario().agreement().timing(), 3, 1, 50);
          assertTrue(
              Math.abs(report.crossZoneTraffic().firstPlanDelayNanos() - simulatedNanos)
                  < MARGIN_NANOS,
              "in the model after " + simulatedNanos + " ns\n" + report.text());
        });
  }

  /** Defects of a router. */
  private enum Defect {
    IGNORES_WEIGHTS,
    REPORTS_ALL_EJECTED
  }

  /**
   * A router that ignores the weights is named by the invariants; a router that reports all servers
   * as ejected moves no traffic.
   */
  @ParameterizedTest
  @EnumSource(Defect.class)
  void defectiveRouterIsNamedOrHasNoEffect(Defect defect) throws Exception {
    RehearsalTestRunner.runScenario(
        SCENARIO.replace("16s", "10s"),
        new FirstRouterDefectiveLauncher(
            features -> config -> routerWithDefect(defect, features, config)),
        folder,
        (report, logs) -> {
          if (defect == Defect.REPORTS_ALL_EJECTED) {
            assertEquals(List.of(), violatedInvariants(report), report.text());
            assertEquals(List.of(), plans(report), report.text());
          } else {
            assertEquals(
                List.of("kept-near", "one-decision"), violatedInvariants(report), report.text());
            assertTrue(
                report.results().stream()
                    .flatMap(result -> result.violations().stream())
                    .allMatch(
                        violation ->
                            !violation.description().startsWith("router")
                                || violation.description().startsWith("router 0 ")),
                report.text());
          }
        });
  }

  private static RouterServer routerWithDefect(Defect defect, Path features, RouterConfig config)
      throws IOException {
    Matcher portMatcher =
        Pattern.compile("127\\.0\\.0\\.1:([0-9]+)").matcher(Files.readString(features));
    assertTrue(portMatcher.find());
    AgreementConfig agreement =
        new AgreementConfig(
            List.of(new InetSocketAddress("127.0.0.1", Integer.parseInt(portMatcher.group(1)))),
            "/rehearsal",
            new AgreementTiming(1_000_000_000, 0.01, 500_000_000),
            null);
    ZoneTopology topology =
        new ZoneTopology(new TreeMap<>(Map.of("east", "", "south", "", "west", "")), 150, 1e6, 50);
    return new RouterServer(
        config,
        () -> config,
        new Lifecycle(),
        new AgreementSubsystem(agreement, config),
        new DefectiveZones(defect, new ZonesSubsystem(agreement, topology, config)));
  }

  /** Adds the defect to a correct subsystem. */
  private record DefectiveZones(Defect defect, ZonesSubsystem delegate)
      implements ZoneWeightsSource {
    @Override
    public void run() {
      delegate.run();
    }

    @Override
    public ZoneWeights dueWeights() {
      return defect == Defect.IGNORES_WEIGHTS ? ZoneWeights.UNWEIGHTED : delegate.dueWeights();
    }

    @Override
    public void serverStatuses(Map<CacheServerClients.ListedServer, ServerStatus> caches) {
      Map<CacheServerClients.ListedServer, ServerStatus> reported = new HashMap<>(caches);
      if (defect == Defect.REPORTS_ALL_EJECTED) {
        reported.replaceAll((listed, status) -> ServerStatus.EJECTED);
      }
      delegate.serverStatuses(reported);
    }

    @Override
    public void requestRouted() {
      delegate.requestRouted();
    }

    @Override
    public void attemptEnded(
        long server, boolean succeeded, CacheLookup lookup, long latencyNanos, boolean late) {
      delegate.attemptEnded(server, succeeded, lookup, latencyNanos, late);
    }

    @Override
    public void leave() {
      delegate.leave();
    }
  }
}
