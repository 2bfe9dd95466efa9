package beaconturn.decision;

import static beaconturn.decision.RouterHarness.MS;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.Map;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

/** Tests the assignment of keys to home caches. */
class HashRingTest {
  @Test
  void keyKeepsItsHomeCacheAndRoutersAgree() {
    RouterHarness a = new RouterHarness(RouterHarness.settings(false), 1);
    RouterHarness b = new RouterHarness(RouterHarness.settings(false), 2);
    a.addCaches(8);
    b.addCaches(8);
    Map<Long, Long> first = RouterHarness.homeCaches(a, 200);
    assertEquals(first, RouterHarness.homeCaches(b, 200));
    assertTrue(new HashSet<>(first.values()).size() == 8, "every cache is the home of some keys");
  }

  @Test
  void joiningAndLeavingCacheMovesOnlyItsKeys() {
    RouterHarness harness = new RouterHarness(RouterHarness.settings(false));
    harness.addCaches(8);
    Map<Long, Long> before = RouterHarness.homeCaches(harness, 400);
    harness.updateEndpoints(EndpointListKind.DELTA, RouterHarness.readyEndpoint(9));
    Map<Long, Long> homesAfterJoin = RouterHarness.homeCaches(harness, 400);
    int moved = 0;
    for (long key : before.keySet()) {
      if (!before.get(key).equals(homesAfterJoin.get(key))) {
        assertEquals(9L, homesAfterJoin.get(key));
        moved++;
      }
    }
    assertTrue(moved > 10 && moved < 120, "moved " + moved);
    harness.updateEndpoints(
        EndpointListKind.DELTA, RouterHarness.endpoint(9, EndpointHealth.GONE, 0));
    assertEquals(before, RouterHarness.homeCaches(harness, 400));
  }

  @Test
  void slowServerKindsGetFewerKeys() {
    RouterHarness harness = new RouterHarness(RouterHarness.settings(true));
    harness.updateEndpoints(
        EndpointListKind.CACHED,
        LongStream.rangeClosed(1, 12)
            .mapToObj(id -> new Endpoint(id, 0, (int) (id + 1) % 2, 0, EndpointHealth.READY, 1, 0))
            .toArray(Endpoint[]::new));
    harness.reads(
        0,
        2000,
        200 * MS,
        (send, attempt) -> harness.respondFromCache((send.serverId() % 2 == 0 ? 90 : 30) * MS));
    long slow =
        harness.sends.stream()
            .filter(send -> send.requestId() >= 1000 && send.serverId() % 2 == 0)
            .count();
    assertTrue(slow > 150 && slow < 350, "of 1000 sent to slow caches: " + slow);
  }
}
