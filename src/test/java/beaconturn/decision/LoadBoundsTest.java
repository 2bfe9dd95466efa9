package beaconturn.decision;

import static beaconturn.decision.RouterHarness.MS;
import static beaconturn.decision.RouterHarness.READ;
import static beaconturn.decision.RouterHarness.SECOND;
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

/** Tests the bounds on requests in flight at one cache. */
class LoadBoundsTest {
  @Test
  void capBoundsMeanIncludingNewRequestAndIsAtLeastTwo() {
    assertEquals(2, LoadBounds.cap(0, 10, 0.2));
    assertEquals(2, LoadBounds.cap(9, 10, 0.2));
    assertEquals(3, LoadBounds.cap(19, 10, 0.2));
    assertEquals(12, LoadBounds.cap(99, 10, 0.2));
    assertEquals(3, LoadBounds.cap(12, 10, 0.9));
  }

  /**
   * Guards against a smoothed bound below the mean load: with a dozen requests in flight at one of
   * two routers, a third of all reads went to a cache that lacked their key.
   */
  @Test
  void cacheAtMeanLoadIsNotAvoidedForItsSmoothedLoad() {
    RouterHarness harness = new RouterHarness(RouterHarness.settings(false, 2, List.of()));
    harness.addCaches(4);
    Map<Long, Long> homes = RouterHarness.homeCaches(harness, 400);
    List<RouterHarness.Send> inFlight = new ArrayList<>();
    int overflowed = 0;
    for (long key = 1; key <= 400; key++) {
      harness.arrive(1000 + key, READ, key * 7919);
      inFlight.add(harness.lastSend());
      overflowed += harness.lastSend().serverId() == homes.get(key) ? 0 : 1;
      harness.nowNanos += 5 * MS;
      if (inFlight.size() > 8) {
        harness.closeAttempt(inFlight.remove(0), 0, AttemptOutcome.OK, true);
      }
    }
    assertTrue(overflowed < 60, overflowed + " of 400 were not sent to their home cache");
  }

  @Test
  void walkSkipsCacheAtItsCapAndNoneExceedsBound() {
    RouterHarness harness = new RouterHarness(RouterHarness.settings(false));
    harness.addCaches(3);
    // Makes the key known as cached, so that later reads do not wait for a fetch.
    for (int i = 1; i <= 3; i++) {
      harness.updateEndpoints(EndpointListKind.FULL, RouterHarness.readyEndpoint(i));
      harness.readFromCache(i, 5);
    }
    harness.updateEndpoints(
        EndpointListKind.FULL,
        RouterHarness.readyEndpoint(1),
        RouterHarness.readyEndpoint(2),
        RouterHarness.readyEndpoint(3));
    harness.sends.clear();
    for (int i = 0; i < 7; i++) {
      harness.arrive(100 + i, READ, 5);
    }
    Map<Long, Integer> load = new HashMap<>();
    harness.sends.forEach(send -> load.merge(send.serverId(), 1, Integer::sum));
    assertEquals(7, harness.sends.size());
    assertEquals(harness.sends.get(0).serverId(), harness.sends.get(1).serverId());
    assertNotEquals(harness.sends.get(0).serverId(), harness.sends.get(2).serverId());
    assertTrue(
        load.values().stream().allMatch(n -> n <= LoadBounds.cap(6, 3, 0.9)), load.toString());
  }

  @Test
  void loadDecreasesWhenCancelledAttemptEnds() {
    RouterHarness harness = new RouterHarness(RouterHarness.settings(false));
    harness.addCaches(1);
    harness.arrive(1, READ, 5);
    RouterHarness.Send send = harness.lastSend();
    harness.router.handle(harness.nowNanos, new RoutingEvent.RequestCancelled(1));
    assertTrue(harness.actions.contains("cancel 1 0"));
    harness.closeAttempt(send, 0, AttemptOutcome.CANCELLED, true);
    harness.arrive(2, READ, 5);
    assertEquals(2, harness.sends.size());
  }

  @Test
  void manyRoutersSendOneRequestAtATimeToPopularCache() {
    RouterHarness harness = new RouterHarness(RouterHarness.settings(false, 20, List.of()));
    harness.addCaches(4);
    RouterHarness.homeCaches(harness, 50);
    for (int i = 0; i < 60; i++) {
      harness.arrive(1000 + i, READ, 7919);
      RouterHarness.Send send = harness.lastSend();
      harness.nowNanos += 50 * MS;
      harness.closeAttempt(send, 0, AttemptOutcome.OK, true);
    }
    harness.arrive(2000, READ, 7919);
    harness.arrive(2001, READ, 7919);
    int last = harness.sends.size() - 1;
    assertNotEquals(harness.sends.get(last - 1).serverId(), harness.sends.get(last).serverId());
  }

  @Test
  void cacheReportingFarAboveMeanIsAvoidedTemporarily() {
    RouterHarness harness =
        new RouterHarness(
            RouterHarness.withLoadReport(
                RouterHarness.settings(false, 20, List.of()), "busy_reqs"));
    harness.addCaches(6);
    RouterHarness.homeCaches(harness, 20);
    RouterHarness.homeCaches(harness, 20);
    harness.arrive(1, READ, 5);
    long home = harness.lastSend().serverId();
    harness.closeAttempt(harness.lastSend(), 0, AttemptOutcome.OK, true);
    for (int i = 0; i < 40; i++) {
      harness.nowNanos += 10 * MS;
      harness.arrive(100 + i, READ, i < 39 ? 1000 + i : 5);
      float reportedRequests = harness.lastSend().serverId() == home && i > 5 ? 60 : 2;
      harness.respondFromCache(50 * MS, reportedRequests);
    }
    assertNotEquals(home, harness.lastSend().serverId());
    harness.nowNanos += 20 * SECOND;
    harness.readFromCache(200, 5);
    harness.nowNanos += SECOND;
    harness.arrive(201, READ, 5);
    assertEquals(home, harness.lastSend().serverId());
  }

  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void reportedLoadIsIgnoredWhileOriginLacksCapacity(boolean originBusy) {
    RouterHarness harness =
        new RouterHarness(RouterHarness.withLoadReport(RouterHarness.settings(true), "busy_reqs"));
    harness.addCaches(6);
    harness.updateEndpoints(EndpointListKind.DELTA, RouterHarness.originEndpoint(50));
    harness.arrive(1, READ, 5);
    long home = harness.lastSend().serverId();
    harness.respondFromCache(50 * MS, 60);
    harness.reads(
        500,
        560,
        0,
        (send, attempt) -> harness.respondFromCache(50 * MS, send.serverId() == home ? 60 : 2));
    for (int i = 0; i < 20; i++) {
      harness.nowNanos += 10 * MS;
      harness.readMissing(100 + i, 1000 + i);
      harness.closeAttempt(
          harness.lastSend(), 1, AttemptOutcome.OK, true, (originBusy ? 900 : 50) * MS);
    }
    harness.arrive(2, READ, 5);
    assertEquals(originBusy, harness.lastSend().serverId() == home);
  }
}
