package beaconturn.decision;

import static beaconturn.decision.Harness.MS;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.Map;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

/** Which cache is home to a key. */
class HashRingTest {
  @Test
  void keyKeepsItsHomeAndRoutersAgree() {
    Harness a = new Harness(Harness.settings(false), 1);
    Harness b = new Harness(Harness.settings(false), 2);
    a.caches(8);
    b.caches(8);
    Map<Long, Long> first = Harness.homes(a, 200);
    assertEquals(first, Harness.homes(b, 200));
    assertTrue(new HashSet<>(first.values()).size() == 8, "every cache is home to some keys");
  }

  @Test
  void joinAndLeaveMoveOnlyKeysOfThatCache() {
    Harness h = new Harness(Harness.settings(false));
    h.caches(8);
    Map<Long, Long> before = Harness.homes(h, 400);
    h.list(EndpointListKind.DELTA, Harness.cache(9));
    Map<Long, Long> joinFetch = Harness.homes(h, 400);
    int moved = 0;
    for (long key : before.keySet()) {
      if (!before.get(key).equals(joinFetch.get(key))) {
        assertEquals(9L, joinFetch.get(key));
        moved++;
      }
    }
    assertTrue(moved > 10 && moved < 120, "moved " + moved);
    h.list(EndpointListKind.DELTA, Harness.entry(9, EndpointHealth.GONE, 0));
    assertEquals(before, Harness.homes(h, 400));
  }

  @Test
  void slowKindsGetFewerKeysAtEqualRatings() {
    Harness h = new Harness(Harness.settings(true));
    h.list(
        EndpointListKind.CACHED,
        LongStream.rangeClosed(1, 12)
            .mapToObj(id -> new Endpoint(id, 0, (int) (id + 1) % 2, 0, EndpointHealth.READY, 1, 0))
            .toArray(Endpoint[]::new));
    h.reads(0, 2000, 200 * MS, (s, n) -> h.hit((s.server() % 2 == 0 ? 90 : 30) * MS));
    long slow = h.sends.stream().filter(s -> s.request() >= 1000 && s.server() % 2 == 0).count();
    assertTrue(slow > 150 && slow < 350, "of 1000 to the slow half: " + slow);
  }
}
