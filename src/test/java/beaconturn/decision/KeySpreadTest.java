package beaconturn.decision;

import static beaconturn.decision.RouterHarness.MS;
import static beaconturn.decision.RouterHarness.READ;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Tests the spread of hot keys over caches. */
class KeySpreadTest {
  @Test
  void hotKeyIsSpreadWithFewRequestsInFlight() {
    RouterHarness harness = new RouterHarness(RouterHarness.settings(false, 100, List.of()));
    harness.addCaches(20);
    Map<Long, Integer> hotKeySends = new HashMap<>();
    Set<Long> coldKeyCaches = new HashSet<>();
    for (int i = 0; i < 400; i++) {
      harness.nowNanos += 300 * MS;
      harness.arrive(i, READ, i % 4 == 0 ? 5 : 1000 + i);
      if (i % 4 == 0) {
        hotKeySends.merge(harness.lastSend().serverId(), 1, Integer::sum);
      }
      harness.closeAttempt(harness.lastSend(), 0, AttemptOutcome.OK, true);
    }
    assertTrue(
        hotKeySends.size() >= 5 && hotKeySends.values().stream().allMatch(n -> n <= 40),
        hotKeySends.toString());
    for (int i = 0; i < 5; i++) {
      harness.arrive(9000 + i, READ, 77);
      coldKeyCaches.add(harness.lastSend().serverId());
      harness.closeAttempt(harness.lastSend(), 0, AttemptOutcome.OK, true);
      RouterHarness.homeCaches(harness, 60);
    }
    assertEquals(1, coldKeyCaches.size());
  }

  /**
   * In cache-aside mode only caches of the router's own zone are used, in read-through mode those
   * of all zones.
   */
  @Test
  void hotKeyIsSpreadEvenlyOverCachesOfOwnZone() {
    for (boolean cacheAside : new boolean[] {true, false}) {
      RouterHarness harness = new RouterHarness(RouterHarness.settings(cacheAside, 40, List.of()));
      harness.addCaches(8);
      for (int i = 0; i < 400; i++) {
        harness.nowNanos += 5 * MS;
        harness.readFromCache(i, 7);
      }
      Map<Long, Integer> sendsByCache = new HashMap<>();
      harness.sends.stream()
          .skip(200)
          .forEach(send -> sendsByCache.merge(send.serverId(), 1, Integer::sum));
      assertEquals(
          cacheAside ? Set.of(2L, 4L, 6L, 8L) : Set.of(1L, 2L, 3L, 4L, 5L, 6L, 7L, 8L),
          sendsByCache.keySet());
      assertTrue(
          sendsByCache.values().stream().allMatch(n -> n > 200 / sendsByCache.size() / 2),
          sendsByCache.toString());
    }
  }
}
