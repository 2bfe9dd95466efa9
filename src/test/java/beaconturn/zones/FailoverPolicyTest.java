package beaconturn.zones;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Locale;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * What is decided in common beside each for itself, by nearness and over all, in the same troubles;
 * four places of two regions with ten cache servers each that carry 1000 a second together. Figures
 * go to the log.
 */
class FailoverPolicyTest {
  private static final long SECOND = SimulatedZones.SECOND;
  private static final Map<String, String> FOUR =
      Map.of("a", "one", "b", "one", "c", "two", "d", "two");

  private record Figures(
      double calmCrossed, double served, double worst, double peak, double crossed) {}

  /** A place is lost for 20 s while each wants so much. */
  private static Figures lost(SimulatedZones.Policy policy, double inPlace) {
    SimulatedZones world = new SimulatedZones(3, FOUR, 6, inPlace / 6, 100);
    world.policy = policy;
    world.run(20 * SECOND);
    double crossed =
        world.simulatedRouters.stream().mapToDouble(s -> s.crossed).sum() / (4 * inPlace * 20);
    world.simulatedZones.keySet().forEach(world::peak);
    world.simulatedZones.get("a").bad = true;
    world.run(5 * SECOND);
    double worst = 1;
    double all = 0;
    for (int i = 0; i < 15; i++) {
      double served = world.topology.zones().stream().mapToDouble(p -> before(world, p)).sum();
      world.run(SECOND);
      served =
          (world.topology.zones().stream().mapToDouble(p -> before(world, p)).sum() - served)
              / (4 * inPlace);
      worst = Math.min(worst, served);
      all += served / 15;
    }
    double peak =
        world.simulatedZones.keySet().stream()
            .filter(p -> !p.equals("a"))
            .mapToDouble(world::peak)
            .max()
            .orElseThrow();
    double crossedThen =
        world.simulatedRouters.stream().mapToDouble(s -> s.crossed).sum() / (4 * inPlace * 40);
    return new Figures(crossed, all, worst, peak, crossedThen);
  }

  private static double before(SimulatedZones world, String place) {
    return world.of(place).stream().mapToDouble(s -> s.served).sum();
  }

  @ParameterizedTest
  @CsvSource({"400", "550", "800"})
  void nobodyIsPushedOverAndWhatThereIsRoomForIsServed(double inPlace) {
    Map<SimulatedZones.Policy, Figures> all = new java.util.EnumMap<>(SimulatedZones.Policy.class);
    for (SimulatedZones.Policy policy : SimulatedZones.Policy.values()) {
      Figures f = lost(policy, inPlace);
      all.put(policy, f);
      System.out.printf(
          Locale.ROOT,
          "%.0f wanted in each place, %s: crossing on calm days %.3f, served"
              + " %.3f, worst second %.3f, peak at a receiver %.2f%n",
          inPlace,
          policy,
          f.calmCrossed(),
          f.served(),
          f.worst(),
          f.peak());
    }
    Figures common = all.get(SimulatedZones.Policy.COMMON);
    // Three of four places have room for 900 each, with one cache server to spare.
    double room = Math.min(1, 3 * 900 / (4 * inPlace));
    assertTrue(common.calmCrossed() <= 0.0101 && common.peak() < 1.2, common.toString());
    assertTrue(common.served() > 0.9 * room, common.toString());
    assertTrue(all.get(SimulatedZones.Policy.RING).calmCrossed() > 0.7);
    assertTrue(
        inPlace < 550 || all.get(SimulatedZones.Policy.PRIORITY).peak() > common.peak(),
        all.toString());
  }

  /** A tenth and more of all attempts fails by chance, in all places alike and in turns. */
  @Test
  void noiseMovesNothing() {
    SimulatedZones world = new SimulatedZones(5, FOUR, 6, 50, 100);
    world.simulatedZones.values().forEach(s -> s.noise = 0.3);
    world.run(240 * SECOND);
    assertTrue(world.plan().number() == 0, world.said());
  }
}
