package beaconturn.zones;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Locale;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Compares coordinated failover with routers that decide alone, by priority levels or on one ring,
 * after the loss of one of four zones. Each zone has ten cache servers that serve 1000 requests per
 * second together. The figures are printed.
 */
class FailoverPolicyTest {
  private static final long SECOND_NANOS = SimulatedZones.SECOND_NANOS;
  private static final Map<String, String> FOUR_ZONES =
      Map.of("a", "one", "b", "one", "c", "two", "d", "two");

  private record Figures(
      double sentElsewhereBefore,
      double servedShare,
      double worstServedShare,
      double peakUtilization,
      double sentElsewhere) {}

  /** Runs a policy through the loss of one zone at the given demand in each zone. */
  private static Figures figuresOfZoneLoss(SimulatedZones.Policy policy, double requestsPerSecond) {
    SimulatedZones simulation = new SimulatedZones(3, FOUR_ZONES, 6, requestsPerSecond / 6, 100);
    simulation.policy = policy;
    simulation.run(20 * SECOND_NANOS);
    double sentElsewhereBefore =
        simulation.routers.stream().mapToDouble(router -> router.sentElsewhere).sum()
            / (4 * requestsPerSecond * 20);
    simulation.zones.keySet().forEach(simulation::peakUtilization);
    simulation.zones.get("a").unavailable = true;
    simulation.run(5 * SECOND_NANOS);
    double worstServedShare = 1;
    double meanServedShare = 0;
    for (int i = 0; i < 15; i++) {
      double served =
          simulation.topology.zones().stream()
              .mapToDouble(zone -> servedRequests(simulation, zone))
              .sum();
      simulation.run(SECOND_NANOS);
      served =
          (simulation.topology.zones().stream()
                      .mapToDouble(zone -> servedRequests(simulation, zone))
                      .sum()
                  - served)
              / (4 * requestsPerSecond);
      worstServedShare = Math.min(worstServedShare, served);
      meanServedShare += served / 15;
    }
    double peakUtilization =
        simulation.zones.keySet().stream()
            .filter(zone -> !zone.equals("a"))
            .mapToDouble(simulation::peakUtilization)
            .max()
            .orElseThrow();
    double sentElsewhere =
        simulation.routers.stream().mapToDouble(router -> router.sentElsewhere).sum()
            / (4 * requestsPerSecond * 40);
    return new Figures(
        sentElsewhereBefore, meanServedShare, worstServedShare, peakUtilization, sentElsewhere);
  }

  private static double servedRequests(SimulatedZones simulation, String zone) {
    return simulation.routersOf(zone).stream().mapToDouble(router -> router.servedRequests).sum();
  }

  @ParameterizedTest
  @CsvSource({"400", "550", "800"})
  void coordinatedPolicyServesWithinCapacityWithoutOverload(double requestsPerSecond) {
    Map<SimulatedZones.Policy, Figures> all = new java.util.EnumMap<>(SimulatedZones.Policy.class);
    for (SimulatedZones.Policy policy : SimulatedZones.Policy.values()) {
      Figures figures = figuresOfZoneLoss(policy, requestsPerSecond);
      all.put(policy, figures);
      System.out.printf(
          Locale.ROOT,
          "%.0f requests per second in each zone, %s: sent elsewhere before the loss %.3f, served"
              + " %.3f, in the worst second %.3f, peak utilization of another zone %.2f%n",
          requestsPerSecond,
          policy,
          figures.sentElsewhereBefore(),
          figures.servedShare(),
          figures.worstServedShare(),
          figures.peakUtilization());
    }
    Figures coordinated = all.get(SimulatedZones.Policy.COORDINATED);
    // The three other zones serve 900 requests per second each after the loss of one cache server.
    double servableShare = Math.min(1, 3 * 900 / (4 * requestsPerSecond));
    assertTrue(
        coordinated.sentElsewhereBefore() <= 0.0101 && coordinated.peakUtilization() < 1.2,
        coordinated.toString());
    assertTrue(coordinated.servedShare() > 0.9 * servableShare, coordinated.toString());
    assertTrue(all.get(SimulatedZones.Policy.RING).sentElsewhereBefore() > 0.7);
    assertTrue(
        requestsPerSecond < 550
            || all.get(SimulatedZones.Policy.PRIORITY).peakUtilization()
                > coordinated.peakUtilization(),
        all.toString());
  }

  /** Up to 30 % of the attempts fail at random, independently in each zone and step. */
  @Test
  void randomFailuresInAllZonesCauseNoPlan() {
    SimulatedZones simulation = new SimulatedZones(5, FOUR_ZONES, 6, 50, 100);
    simulation.zones.values().forEach(zone -> zone.maxRandomFailureShare = 0.3);
    simulation.run(240 * SECOND_NANOS);
    assertTrue(simulation.plan().number() == 0, simulation.logText());
  }
}
