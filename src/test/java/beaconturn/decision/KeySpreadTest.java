package beaconturn.decision;

import static beaconturn.decision.Harness.MS;
import static beaconturn.decision.Harness.READ;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Over how many caches a hot key is spread. */
class KeySpreadTest {
  @Test
  void hotKeyIsSpreadAtFewRequestsInFlight() {
    Harness h = new Harness(Harness.settings(false, 100, List.of()));
    h.caches(20);
    Map<Long, Integer> hot = new HashMap<>();
    Set<Long> tail = new HashSet<>();
    for (int i = 0; i < 400; i++) {
      h.now += 300 * MS;
      h.arrive(i, READ, i % 4 == 0 ? 5 : 1000 + i);
      if (i % 4 == 0) {
        hot.merge(h.last().server(), 1, Integer::sum);
      }
      h.close(h.last(), 0, AttemptOutcome.OK, true);
    }
    assertTrue(hot.size() >= 5 && hot.values().stream().allMatch(n -> n <= 40), hot.toString());
    for (int i = 0; i < 5; i++) {
      h.arrive(9000 + i, READ, 77);
      tail.add(h.last().server());
      h.close(h.last(), 0, AttemptOutcome.OK, true);
      Harness.homes(h, 60);
    }
    assertEquals(1, tail.size());
  }

  /** Where the origin is asked beside the caches; where caches fetch, over those of all zones. */
  @Test
  void spreadKeyGoesEvenlyToCachesOfOwnZone() {
    for (boolean cacheAside : new boolean[] {true, false}) {
      Harness h = new Harness(Harness.settings(cacheAside, 40, List.of()));
      h.caches(8);
      for (int i = 0; i < 400; i++) {
        h.now += 5 * MS;
        h.serve(i, 7);
      }
      Map<Long, Integer> to = new HashMap<>();
      h.sends.stream().skip(200).forEach(s -> to.merge(s.server(), 1, Integer::sum));
      assertEquals(
          cacheAside ? Set.of(2L, 4L, 6L, 8L) : Set.of(1L, 2L, 3L, 4L, 5L, 6L, 7L, 8L), to.keySet());
      assertTrue(to.values().stream().allMatch(n -> n > 200 / to.size() / 2), to.toString());
    }
  }
}
