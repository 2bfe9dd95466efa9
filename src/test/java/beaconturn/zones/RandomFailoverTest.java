package beaconturn.zones;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import beaconturn.rehearsal.ScenarioReader;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Checks random fault scenarios in virtual time: no zone is overloaded by others, and all zones
 * serve their own keys in the end. A long run: {@code -Dzones.courses=2000 -Dzones.first=100}.
 */
class RandomFailoverTest {
  private static final long SECOND_NANOS = SimulatedZones.SECOND_NANOS;

  private static void assertNoFailure(long seed, int routers) throws Exception {
    RandomFailoverScenario scenario = RandomFailoverScenario.of(seed, routers);
    if (scenario.failure() != null) {
      RandomFailoverScenario smallest = scenario.shrunk();
      assertNull(
          smallest.failure(),
          "seed " + seed + ", " + smallest.faults().size() + " faults:\n" + smallest.toToml());
    }
  }

  @Test
  void randomFaultsNeverOverloadZonesAndAllZonesRecover() throws Exception {
    long first = Long.getLong("zones.first", 1);
    for (long seed = first; seed < first + Long.getLong("zones.courses", 6); seed++) {
      assertNoFailure(seed, 3);
    }
  }

  @Test
  void randomFaultsWithHundredsOfRouters() throws Exception {
    for (long seed = 1; seed <= Long.getLong("zones.large", 1); seed++) {
      assertNoFailure(seed, Integer.getInteger("zones.routers", 20));
    }
  }

  @Test
  void shrinksFailingScenarioToItsCauseAndExportsIt() throws Exception {
    // This fault is never removed, so its zone cannot recover.
    RandomFailoverScenario.Fault cause =
        new RandomFailoverScenario.Fault(
            RandomFailoverScenario.Kind.STALL,
            1,
            1,
            8 * SECOND_NANOS,
            RandomFailoverScenario.NEVER_NANOS);
    RandomFailoverScenario scenario =
        new RandomFailoverScenario(
            1,
            3,
            2,
            100,
            List.of(
                new RandomFailoverScenario.Fault(
                    RandomFailoverScenario.Kind.STORE_CUT,
                    4,
                    1,
                    6 * SECOND_NANOS,
                    9 * SECOND_NANOS),
                cause,
                new RandomFailoverScenario.Fault(
                    RandomFailoverScenario.Kind.COLD, 2, 7, 10 * SECOND_NANOS, 12 * SECOND_NANOS),
                new RandomFailoverScenario.Fault(
                    RandomFailoverScenario.Kind.ROUTER_KILL,
                    0,
                    1,
                    7 * SECOND_NANOS,
                    9 * SECOND_NANOS)));
    RandomFailoverScenario smallest = scenario.shrunk();
    assertEquals(List.of(cause), smallest.faults());
    assertTrue(
        smallest.failure().startsWith("p1 does not serve its own keys again"), smallest.failure());
    assertEquals(1, ScenarioReader.read("scenario.toml", smallest.toToml(), null).faults().size());
  }
}
