package beaconturn.zones;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import beaconturn.rehearsal.ScenarioReader;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Courses of chance in virtual time: nobody is ever pushed over by others, and all is near again in
 * the end. A long run: {@code -Dzones.courses=2000 -Dzones.first=100}.
 */
class RandomFailoverTest {
  private static final long SECOND = SimulatedZones.SECOND;

  private static void holds(long seed, int routers) throws Exception {
    RandomFailoverScenario course = RandomFailoverScenario.of(seed, routers);
    if (course.fails() != null) {
      RandomFailoverScenario least = course.shrunk();
      assertNull(
          least.fails(),
          "seed " + seed + ", " + least.troubles().size() + " troubles:\n" + least.scenario());
    }
  }

  @Test
  void inCoursesOfChanceNoPlaceIsPushedOverAndAllComeBack() throws Exception {
    long first = Long.getLong("zones.first", 1);
    for (long seed = first; seed < first + Long.getLong("zones.courses", 6); seed++) {
      holds(seed, 3);
    }
  }

  /** Hundreds of routers in up to eight places. */
  @Test
  void alsoWithHundredsOfRouters() throws Exception {
    for (long seed = 1; seed <= Long.getLong("zones.large", 1); seed++) {
      holds(seed, Integer.getInteger("zones.routers", 20));
    }
  }

  /** What fails is cut down to what it takes, and can be played with processes. */
  @Test
  void aCourseThatFailsIsCutDownToTheTroubleThatMakesIt() throws Exception {
    // One that is never mended: its place cannot be near again.
    RandomFailoverScenario.Trouble cause =
        new RandomFailoverScenario.Trouble(
            RandomFailoverScenario.Kind.STALL, 1, 1, 8 * SECOND, RandomFailoverScenario.NEVER);
    RandomFailoverScenario course =
        new RandomFailoverScenario(
            1,
            3,
            2,
            100,
            List.of(
                new RandomFailoverScenario.Trouble(
                    RandomFailoverScenario.Kind.CUT, 4, 1, 6 * SECOND, 9 * SECOND),
                cause,
                new RandomFailoverScenario.Trouble(
                    RandomFailoverScenario.Kind.COLD, 2, 7, 10 * SECOND, 12 * SECOND),
                new RandomFailoverScenario.Trouble(
                    RandomFailoverScenario.Kind.KILL, 0, 1, 7 * SECOND, 9 * SECOND)));
    RandomFailoverScenario least = course.shrunk();
    assertEquals(List.of(cause), least.troubles());
    assertTrue(least.fails().startsWith("p1 is not back near"), least.fails());
    assertEquals(1, ScenarioReader.read("course.toml", least.scenario(), null).faults().size());
  }
}
