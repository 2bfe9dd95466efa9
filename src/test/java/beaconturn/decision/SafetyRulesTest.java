package beaconturn.decision;

import static beaconturn.decision.RouterHarness.KEYED_ALL;
import static beaconturn.decision.RouterHarness.KEYED_ZONE;
import static beaconturn.decision.RouterHarness.MS;
import static beaconturn.decision.RouterHarness.READ;
import static beaconturn.decision.RouterHarness.SECOND;
import static beaconturn.decision.RouterHarness.UNSAFE;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

/**
 * Tests the safety rules: every request gets a response, no effect happens twice, draining caches
 * get no requests, warming caches are not overloaded.
 */
class SafetyRulesTest {
  private static RouterHarness readThroughHarness() {
    RouterHarness harness = new RouterHarness(RouterHarness.settings(false));
    harness.addCaches(6);
    // Earns retry budget.
    for (int i = 1; i <= 30; i++) {
      harness.readFromCache(i, i);
    }
    harness.sends.clear();
    return harness;
  }

  @Test
  void nonIdempotentRequestIsNotRetriedIfItMayHaveRun() {
    for (AttemptOutcome outcome :
        List.of(AttemptOutcome.ERROR, AttemptOutcome.RESET, AttemptOutcome.TIMEOUT)) {
      RouterHarness harness = readThroughHarness();
      harness.arrive(100, UNSAFE, 5);
      harness.closeAttempt(harness.lastSend(), 0, outcome, false);
      assertEquals(1, harness.sends.size());
      assertEquals(List.of(100L), harness.failed);
    }
  }

  @Test
  void nonIdempotentRequestThatNeverRanIsRetried() {
    for (AttemptOutcome outcome : List.of(AttemptOutcome.REJECTED, AttemptOutcome.CONNECT_FAILED)) {
      RouterHarness harness = readThroughHarness();
      harness.arrive(100, UNSAFE, 5);
      harness.closeAttempt(harness.lastSend(), 0, outcome, false);
      assertEquals(2, harness.sends.size());
    }
  }

  @Test
  void nonIdempotentRequestIsNeverHedged() {
    RouterHarness harness = readThroughHarness();
    harness.arrive(100, UNSAFE, 5);
    harness.advance(1500 * MS);
    assertEquals(1, harness.sends.size());
  }

  @Test
  void requestWithIdempotencyKeyIsRetriedWithinItsScope() {
    RouterHarness harness = readThroughHarness();
    harness.arrive(100, KEYED_ZONE, 5);
    long first = harness.lastSend().serverId();
    harness.closeAttempt(harness.lastSend(), 0, AttemptOutcome.RESET, false);
    assertEquals(2, harness.sends.size());
    assertEquals(first % 2, harness.lastSend().serverId() % 2);
  }

  @Test
  void requestWithIdempotencyKeyIsNotRetriedAfterItsWindow() {
    RouterHarness harness = readThroughHarness();
    harness.arrive(100, KEYED_ALL, 5, 20 * SECOND);
    harness.nowNanos += 6 * SECOND;
    harness.closeAttempt(harness.lastSend(), 0, AttemptOutcome.RESET, false);
    assertEquals(1, harness.sends.size());
  }

  /**
   * A repeat may be written 250 ms (connect timeout) plus 150 ms (pause of the router) after the
   * decision, and must still be within the window then.
   */
  @Test
  void requestWithIdempotencyKeyIsNotRetriedIfWrittenAfterItsWindow() {
    for (long elapsedNanos : new long[] {4550 * MS, 4650 * MS}) {
      RouterHarness harness = readThroughHarness();
      harness.arrive(100, KEYED_ALL, 5, 20 * SECOND);
      harness.nowNanos += elapsedNanos;
      harness.closeAttempt(harness.lastSend(), 0, AttemptOutcome.RESET, false);
      long sent = harness.sends.stream().filter(send -> send.requestId() == 100).count();
      assertEquals(
          elapsedNanos < 4600 * MS ? 2 : 1,
          sent,
          "nanoseconds after the first attempt: " + elapsedNanos);
    }
  }

  @Test
  void requestOfZoneScopeThatMayHaveRunIsFailedNotRejected() {
    RouterHarness harness = new RouterHarness(RouterHarness.settings(false));
    harness.updateEndpoints(EndpointListKind.CACHED, RouterHarness.readyEndpoint(1));
    harness.arrive(1, KEYED_ZONE, 5);
    harness.closeAttempt(harness.lastSend(), 0, AttemptOutcome.ERROR, false);
    assertEquals(List.of(1L), harness.failed);
    harness.arrive(2, KEYED_ALL, 5);
    harness.closeAttempt(harness.lastSend(), 0, AttemptOutcome.ERROR, false);
    assertEquals(List.of(2L), harness.rejected);
  }

  @Test
  void drainingCacheGetsNoNewRequests() {
    RouterHarness harness = readThroughHarness();
    harness.arrive(100, READ, 5);
    long home = harness.lastSend().serverId();
    harness.closeAttempt(harness.lastSend(), 0, AttemptOutcome.OK, true);
    harness.updateEndpoints(
        EndpointListKind.DELTA, RouterHarness.endpoint(home, EndpointHealth.DRAINING, 0));
    for (int i = 0; i < 20; i++) {
      harness.arrive(200 + i, READ, 5);
      assertTrue(harness.lastSend().serverId() != home);
    }
  }

  /**
   * With advisory removal, a removed cache is unused only once it is also unresponsive; removal
   * after draining takes effect at once.
   */
  @Test
  void removedCacheIsUsedUntilUnresponsiveWithAdvisoryRemoval() {
    RouterHarness harness =
        new RouterHarness(RouterHarness.withAdvisoryRemoval(RouterHarness.settings(false)));
    harness.addCaches(4);
    long home = harness.homeCache(5);
    harness.updateEndpoints(
        EndpointListKind.FULL, RouterHarness.endpoint(home % 4 + 1, EndpointHealth.READY, 0));
    assertEquals(home, harness.homeCache(5), "omitted from a full list");
    harness.updateEndpoints(
        EndpointListKind.DELTA, RouterHarness.endpoint(home, EndpointHealth.GONE, 0));
    assertEquals(home, harness.homeCache(5), "listed as gone");
    harness.arrive(100, READ, 5);
    harness.closeAttempt(harness.lastSend(), 0, AttemptOutcome.CONNECT_FAILED, false);
    assertTrue(harness.lastSend().serverId() != home, "listed as gone and unresponsive");
    harness.closeAttempt(harness.lastSend(), 1, AttemptOutcome.OK, true);
    harness.updateEndpoints(
        EndpointListKind.DELTA, RouterHarness.endpoint(home, EndpointHealth.READY, 0));
    assertEquals(home, harness.homeCache(5), "listed again");
    harness.updateEndpoints(
        EndpointListKind.DELTA, RouterHarness.endpoint(home, EndpointHealth.DRAINING, 0));
    harness.updateEndpoints(
        EndpointListKind.DELTA, RouterHarness.endpoint(home, EndpointHealth.GONE, 0));
    assertTrue(harness.homeCache(5) != home, "gone after draining");
  }

  @Test
  void unresponsiveCacheGetsNoRequestsAfterAdvisoryRemoval() {
    RouterHarness harness =
        new RouterHarness(RouterHarness.withAdvisoryRemoval(RouterHarness.settings(false)));
    harness.addCaches(4);
    long home = harness.homeCache(5);
    harness.arrive(100, READ, 5);
    harness.closeAttempt(harness.lastSend(), 0, AttemptOutcome.RESET, false);
    harness.updateEndpoints(
        EndpointListKind.DELTA, RouterHarness.endpoint(home, EndpointHealth.GONE, 0));
    assertTrue(harness.homeCache(5) != home);
  }

  /**
   * Endpoint updates during the exclusion (a new boot time, removal and return, a full list) must
   * not end it. After readmission the cache is no longer ejected and is limited by slow start. With
   * all caches excluded a request is rejected immediately, with a retry delay.
   */
  @Test
  void excludedCacheGetsNoRequestsAndWarmsUpAfterReadmission() {
    RouterHarness harness = readThroughHarness();
    long excluded = harness.homeCache(5);
    harness.reads(
        200,
        300,
        10 * MS,
        (send, attempt) ->
            harness.closeAttempt(
                send,
                attempt,
                send.serverId() == excluded ? AttemptOutcome.RESET : AttemptOutcome.OK,
                send.serverId() != excluded));
    assertEquals(1, harness.router.view().avoided());
    harness.operatorOverride(excluded, true);
    harness.operatorOverride(excluded, true);
    assertEquals(1, harness.router.view().avoided());
    harness.updateEndpoints(
        EndpointListKind.DELTA,
        RouterHarness.endpoint(excluded, EndpointHealth.READY, harness.nowNanos));
    harness.updateEndpoints(
        EndpointListKind.DELTA, RouterHarness.endpoint(excluded, EndpointHealth.GONE, 0));
    harness.updateEndpoints(
        EndpointListKind.DELTA,
        RouterHarness.endpoint(excluded, EndpointHealth.READY, harness.nowNanos + 1));
    harness.addCaches(6);
    assertEquals(0, harness.countReadsSentTo(300, 500, 10 * MS, excluded));
    harness.operatorOverride(excluded, false);
    assertEquals(0, harness.router.view().avoided());
    long sendCount = harness.countReadsSentTo(500, 1500, MS, excluded);
    assertTrue(
        sendCount > 0 && sendCount < 120, sendCount + " of 1000 sends; an even share is 167");
    LongStream.rangeClosed(1, 6).forEach(i -> harness.operatorOverride(i, true));
    harness.arrive(1500, READ, 5);
    assertTrue(
        harness.actions.get(harness.actions.size() - 1).matches("reject 1500 [1-9][0-9]*"),
        "all caches are excluded");
  }

  /** A start reported by the list during the exclusion determines the warm-up progress. */
  @Test
  void readmittedCacheWarmsUpFromListedStartWhileExcluded() {
    long[] sendCounts = new long[2];
    for (int listed = 0; listed < 2; listed++) {
      RouterHarness harness = readThroughHarness();
      long server = harness.homeCache(5);
      harness.countReadsSentTo(200, 1200, 10 * MS, server);
      harness.operatorOverride(server, true);
      harness.nowNanos += SECOND;
      if (listed == 1) {
        harness.updateEndpoints(
            EndpointListKind.DELTA,
            RouterHarness.endpoint(server, EndpointHealth.READY, harness.nowNanos));
      }
      harness.countReadsSentTo(1200, 2200, 10 * MS, server);
      harness.operatorOverride(server, false);
      sendCounts[listed] = harness.countReadsSentTo(2200, 2500, 10 * MS, server);
    }
    assertTrue(sendCounts[0] < sendCounts[1], sendCounts[0] + " and " + sendCounts[1]);
  }

  /**
   * All caches have just started: without the warm-start state nearly all requests would be
   * rejected.
   */
  @Test
  void successorStartsWithWarmSlowStartBudgets() {
    RouterHarness before = readThroughHarness();
    before.countReadsSentTo(200, 2200, 5 * MS, 0);
    for (boolean warmStart : new boolean[] {false, true}) {
      RouterHarness harness = new RouterHarness(RouterHarness.settings(false));
      if (warmStart) {
        harness.router.handle(
            harness.nowNanos, new RoutingEvent.WarmStarted(before.router.warmStartState()));
      }
      LongStream.rangeClosed(1, 6)
          .forEach(
              i ->
                  harness.updateEndpoints(
                      EndpointListKind.DELTA,
                      RouterHarness.endpoint(i, EndpointHealth.READY, harness.nowNanos)));
      harness.countReadsSentTo(1, 401, 5 * MS, 0);
      assertTrue(
          warmStart ? harness.sends.size() > 120 : harness.sends.size() < 60,
          warmStart + ": " + harness.sends.size());
    }
  }

  /** A new process of the router receives the exclusion before its first list. */
  @Test
  void exclusionBeforeFirstListAppliesAlsoAfterSettingsChange() {
    RouterHarness harness = new RouterHarness(RouterHarness.settings(false));
    harness.operatorOverride(1, true);
    harness.addCaches(2);
    RingRouter next =
        new RingRouter(RouterHarness.settings(false), 1, harness.nowNanos, harness, harness.router);
    assertEquals(1, next.view().avoided());
    for (int key = 1; key < 50; key++) {
      next.handle(
          harness.nowNanos,
          new RoutingEvent.RequestArrived(key, 0, 0, key, READ, SECOND, false, false, 0));
    }
    assertEquals(List.of(), harness.sends.stream().filter(send -> send.serverId() == 1).toList());
    assertTrue(harness.sends.size() > 10);
  }

  @Test
  void queuedRequestIsNotSentToDrainingCacheThatHoldsItsKey() {
    RouterHarness harness = RouterHarness.cacheAside(2);
    harness.readMissing(1, 5);
    long home = harness.sends.get(0).serverId();
    RouterHarness.Send fetch = harness.lastSend();
    harness.arrive(2, READ, 5);
    harness.updateEndpoints(
        EndpointListKind.DELTA, RouterHarness.endpoint(home, EndpointHealth.DRAINING, 0));
    harness.closeAttempt(fetch, 1, AttemptOutcome.OK, true);
    assertEquals(3 - home, harness.lastSend().serverId());
  }

  @Test
  void missAfterDeadlineIsRejectedImmediately() {
    RouterHarness harness = RouterHarness.cacheAside(1);
    harness.readMissing(9, 5);
    harness.arrive(1, READ, 6, 100 * MS);
    RouterHarness.Send late = harness.lastSend();
    harness.nowNanos += 104 * MS;
    harness.closeAttempt(late, 0, AttemptOutcome.MISS, false);
    assertEquals(List.of(1L), harness.rejected);
  }

  @Test
  void requestWaitingForFetchIsRejectedBeforeItsDeadline() {
    RouterHarness harness = RouterHarness.cacheAside(1);
    harness.readMissing(1, 5);
    harness.arrive(2, READ, 5, SECOND);
    harness.advance(600 * MS);
    assertEquals(List.of(2L), harness.rejected);
  }

  @Test
  void completedRequestCausesNoFurtherActions() {
    RouterHarness harness = readThroughHarness();
    harness.arrive(100, KEYED_ALL, 5);
    harness.advance(1100 * MS);
    assertEquals(2, harness.sends.size());
    RouterHarness.Send first = harness.sends.get(0);
    RouterHarness.Send second = harness.sends.get(1);
    harness.closeAttempt(second, 1, AttemptOutcome.OK, true);
    harness.actions.clear();
    harness.closeAttempt(first, 0, AttemptOutcome.ERROR, true);
    harness.advance(5 * SECOND);
    assertEquals(List.of(), harness.actions);
  }

  @Test
  void requestIsRejectedImmediatelyWithoutCaches() {
    RouterHarness harness = new RouterHarness(RouterHarness.settings(false));
    harness.updateEndpoints(EndpointListKind.CACHED);
    harness.arrive(1, READ, 5);
    harness.arrive(2, UNSAFE, 5);
    assertEquals(List.of(1L, 2L), harness.rejected);
  }

  @Test
  void attemptsDoNotExceedMaximum() {
    RouterHarness harness = new RouterHarness(RouterHarness.settings(false, 1, List.of(), 2));
    harness.addCaches(5);
    for (int i = 1; i <= 50; i++) {
      harness.readFromCache(i, i);
    }
    harness.arrive(100, READ, 5);
    harness.closeAttempt(harness.lastSend(), 0, AttemptOutcome.REJECTED, false);
    harness.closeAttempt(harness.lastSend(), 1, AttemptOutcome.REJECTED, false);
    assertEquals(52, harness.sends.size());
    assertEquals(List.of(100L), harness.rejected);
  }

  @Test
  void unusualListsCauseImmediateRejectionOrPermittedSend() {
    RouterHarness harness = new RouterHarness(RouterHarness.settings(true, 400, List.of()));
    harness.arrive(1, READ, 5);
    harness.updateEndpoints(EndpointListKind.CACHED, RouterHarness.originEndpoint(50));
    harness.arrive(2, READ, 5);
    harness.updateEndpoints(EndpointListKind.DELTA);
    harness.updateEndpoints(
        EndpointListKind.DELTA, RouterHarness.endpoint(1, EndpointHealth.DRAINING, 0));
    harness.arrive(3, READ, 5);
    assertEquals(List.of(1L, 2L, 3L), harness.rejected);
    assertEquals(List.of(), harness.sends);
    harness.updateEndpoints(EndpointListKind.DELTA, RouterHarness.readyEndpoint(2));
    harness.updateEndpoints(EndpointListKind.DELTA, RouterHarness.readyEndpoint(2));
    harness.arrive(4, READ, 5);
    assertEquals(2L, harness.lastSend().serverId());
  }

  @Test
  void newBootTimeKeepsRequestInFlightAndLimitsCacheToBudget() {
    RouterHarness harness = readThroughHarness();
    harness.arrive(100, READ, 5);
    RouterHarness.Send inFlight = harness.lastSend();
    harness.updateEndpoints(
        EndpointListKind.DELTA,
        RouterHarness.endpoint(inFlight.serverId(), EndpointHealth.READY, harness.nowNanos));
    harness.arrive(101, READ, 5);
    harness.closeAttempt(inFlight, 0, AttemptOutcome.RESET, false);
    assertTrue(
        harness.sends.stream().skip(1).noneMatch(send -> send.serverId() == inFlight.serverId()),
        harness.sends.toString());
  }

  @Test
  void keysAreSpreadOverSeveralHundredCaches() {
    RouterHarness harness = new RouterHarness(RouterHarness.settings(false, 1, List.of()));
    harness.addCaches(400);
    for (int i = 0; i < 8000; i++) {
      harness.readFromCache(i, i + 1);
    }
    assertEquals(400, harness.sends.stream().map(RouterHarness.Send::serverId).distinct().count());
  }
}
