package beaconturn.decision;

import static beaconturn.decision.Harness.MS;
import static beaconturn.decision.Harness.READ;
import static beaconturn.decision.Harness.SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** How much one cache may have in flight. */
class LoadBoundsTest {
  @Test
  void capIsBoundOnMeanCountingNewRequestAndNeverUnderTwo() {
    assertEquals(2, LoadBounds.cap(0, 10, 0.2));
    assertEquals(2, LoadBounds.cap(9, 10, 0.2));
    assertEquals(3, LoadBounds.cap(19, 10, 0.2));
    assertEquals(12, LoadBounds.cap(99, 10, 0.2));
    assertEquals(3, LoadBounds.cap(12, 10, 0.9));
  }

  /**
   * Guards against the smoothed bound under the mean: at a dozen in flight from one of two routers
   * every cache stands over its part of the floor, and a third of all reads went to a cache that
   * lacks their key.
   */
  @Test
  void cacheAtMeanIsNotPassedOverForItsSmoothedLoad() {
    Harness h = new Harness(Harness.settings(false, 2, List.of()));
    h.caches(4);
    Map<Long, Long> homes = Harness.homes(h, 400);
    List<Harness.Send> out = new ArrayList<>();
    int wentPast = 0;
    for (long key = 1; key <= 400; key++) {
      h.arrive(1000 + key, READ, key * 7919);
      out.add(h.last());
      wentPast += h.last().server() == homes.get(key) ? 0 : 1;
      h.now += 5 * MS;
      if (out.size() > 8) {
        h.close(out.remove(0), 0, AttemptOutcome.OK, true);
      }
    }
    assertTrue(wentPast < 60, wentPast + " of 400 went past a home that holds no more than others");
  }

  @Test
  void walkPassesCacheAtItsCapAndNoneExceedsBound() {
    Harness h = new Harness(Harness.settings(false));
    h.caches(3);
    // Known as held, so that no single flight holds the later ones back.
    for (int i = 1; i <= 3; i++) {
      h.list(EndpointListKind.FULL, Harness.cache(i));
      h.serve(i, 5);
    }
    h.list(EndpointListKind.FULL, Harness.cache(1), Harness.cache(2), Harness.cache(3));
    h.sends.clear();
    for (int i = 0; i < 7; i++) {
      h.arrive(100 + i, READ, 5);
    }
    Map<Long, Integer> load = new HashMap<>();
    h.sends.forEach(s -> load.merge(s.server(), 1, Integer::sum));
    assertEquals(7, h.sends.size());
    assertEquals(h.sends.get(0).server(), h.sends.get(1).server());
    assertNotEquals(h.sends.get(0).server(), h.sends.get(2).server());
    assertTrue(
        load.values().stream().allMatch(n -> n <= LoadBounds.cap(6, 3, 0.9)), load.toString());
  }

  @Test
  void loadFallsWhenCancelledAttemptEnds() {
    Harness h = new Harness(Harness.settings(false));
    h.caches(1);
    h.arrive(1, READ, 5);
    Harness.Send send = h.last();
    h.router.handle(h.now, new RoutingEvent.RequestCancelled(1));
    assertTrue(h.actions.contains("cancel 1 0"));
    h.close(send, 0, AttemptOutcome.CANCELLED, true);
    h.arrive(2, READ, 5);
    assertEquals(2, h.sends.size());
  }

  @Test
  void manyRoutersSendPopularHomeOneAtATime() {
    Harness h = new Harness(Harness.settings(false, 20, List.of()));
    h.caches(4);
    Harness.homes(h, 50);
    for (int i = 0; i < 60; i++) {
      h.arrive(1000 + i, READ, 7919);
      Harness.Send send = h.last();
      h.now += 50 * MS;
      h.close(send, 0, AttemptOutcome.OK, true);
    }
    h.arrive(2000, READ, 7919);
    h.arrive(2001, READ, 7919);
    int last = h.sends.size() - 1;
    assertNotEquals(h.sends.get(last - 1).server(), h.sends.get(last).server());
  }

  @Test
  void cacheThatReportsFarMoreThanMeanIsPassedOverForAWhile() {
    Harness h = new Harness(Harness.reporting(Harness.settings(false, 20, List.of()), "busy_reqs"));
    h.caches(6);
    Harness.homes(h, 20);
    Harness.homes(h, 20);
    h.arrive(1, READ, 5);
    long home = h.last().server();
    h.close(h.last(), 0, AttemptOutcome.OK, true);
    for (int i = 0; i < 40; i++) {
      h.now += 10 * MS;
      h.arrive(100 + i, READ, i < 39 ? 1000 + i : 5);
      float held = h.last().server() == home && i > 5 ? 60 : 2;
      h.hit(50 * MS, held);
    }
    assertNotEquals(home, h.last().server());
    h.now += 20 * SECOND;
    h.serve(200, 5);
    h.now += SECOND;
    h.arrive(201, READ, 5);
    assertEquals(home, h.last().server());
  }

  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void reportPassesOverCacheOnlyWhileOriginHasCapacity(boolean busy) {
    Harness h = new Harness(Harness.reporting(Harness.settings(true), "busy_reqs"));
    h.caches(6);
    h.list(EndpointListKind.DELTA, Harness.origin(50));
    h.arrive(1, READ, 5);
    long home = h.last().server();
    h.hit(50 * MS, 60);
    h.reads(500, 560, 0, (s, n) -> h.hit(50 * MS, s.server() == home ? 60 : 2));
    for (int i = 0; i < 20; i++) {
      h.now += 10 * MS;
      h.miss(100 + i, 1000 + i);
      h.close(h.last(), 1, AttemptOutcome.OK, true, (busy ? 900 : 50) * MS);
    }
    h.arrive(2, READ, 5);
    assertEquals(busy, h.last().server() == home);
  }
}
