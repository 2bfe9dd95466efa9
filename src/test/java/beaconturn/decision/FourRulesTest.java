package beaconturn.decision;

import static beaconturn.decision.Harness.KEYED_ALL;
import static beaconturn.decision.Harness.KEYED_ZONE;
import static beaconturn.decision.Harness.MS;
import static beaconturn.decision.Harness.READ;
import static beaconturn.decision.Harness.SECOND;
import static beaconturn.decision.Harness.UNSAFE;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

/** The four rules of safety: no request lost, no effect twice, drains kept, slow start kept. */
class FourRulesTest {
  private static Harness through() {
    Harness h = new Harness(Harness.settings(false));
    h.caches(6);
    // Earns some budget for further attempts.
    for (int i = 1; i <= 30; i++) {
      h.serve(i, i);
    }
    h.sends.clear();
    return h;
  }

  @Test
  void nonIdempotentRequestIsNotRetriedOnceItMayHaveRun() {
    for (AttemptOutcome ending :
        List.of(AttemptOutcome.ERROR, AttemptOutcome.RESET, AttemptOutcome.TIMEOUT)) {
      Harness h = through();
      h.arrive(100, UNSAFE, 5);
      h.close(h.last(), 0, ending, false);
      assertEquals(1, h.sends.size());
      assertEquals(List.of(100L), h.failed);
    }
  }

  @Test
  void nonIdempotentRequestThatNeverRanIsRetried() {
    for (AttemptOutcome ending : List.of(AttemptOutcome.REJECTED, AttemptOutcome.CONNECT_FAILED)) {
      Harness h = through();
      h.arrive(100, UNSAFE, 5);
      h.close(h.last(), 0, ending, false);
      assertEquals(2, h.sends.size());
    }
  }

  @Test
  void nonIdempotentRequestIsNeverHedged() {
    Harness h = through();
    h.arrive(100, UNSAFE, 5);
    h.pass(1500 * MS);
    assertEquals(1, h.sends.size());
  }

  @Test
  void requestWithIdempotencyKeyIsRetriedOnlyWithinItsScope() {
    Harness h = through();
    h.arrive(100, KEYED_ZONE, 5);
    long first = h.last().server();
    h.close(h.last(), 0, AttemptOutcome.RESET, false);
    assertEquals(2, h.sends.size());
    assertEquals(first % 2, h.last().server() % 2);
  }

  @Test
  void requestWithIdempotencyKeyIsNotRetriedPastItsWindow() {
    Harness h = through();
    h.arrive(100, KEYED_ALL, 5, 20 * SECOND);
    h.now += 6 * SECOND;
    h.close(h.last(), 0, AttemptOutcome.RESET, false);
    assertEquals(1, h.sends.size());
  }

  /**
   * A repeat is written when its connection is up, 250 ms and a pause of 150 ms later: by then it
   * must be in time.
   */
  @Test
  void requestWithIdempotencyKeyIsNotRetriedWhereItWouldBeWrittenPastItsWindow() {
    for (long after : new long[] {4550 * MS, 4650 * MS}) {
      Harness h = through();
      h.arrive(100, KEYED_ALL, 5, 20 * SECOND);
      h.now += after;
      h.close(h.last(), 0, AttemptOutcome.RESET, false);
      long sent = h.sends.stream().filter(s -> s.request() == 100).count();
      assertEquals(after < 4600 * MS ? 2 : 1, sent, "after " + after);
    }
  }

  @Test
  void requestOfNarrowScopeThatMayHaveRunIsFailedNotRejected() {
    Harness h = new Harness(Harness.settings(false));
    h.list(EndpointListKind.CACHED, Harness.cache(1));
    h.arrive(1, KEYED_ZONE, 5);
    h.close(h.last(), 0, AttemptOutcome.ERROR, false);
    assertEquals(List.of(1L), h.failed);
    h.arrive(2, KEYED_ALL, 5);
    h.close(h.last(), 0, AttemptOutcome.ERROR, false);
    assertEquals(List.of(2L), h.refused);
  }

  @Test
  void drainingCacheGetsNothingNew() {
    Harness h = through();
    h.arrive(100, READ, 5);
    long home = h.last().server();
    h.close(h.last(), 0, AttemptOutcome.OK, true);
    h.list(EndpointListKind.DELTA, Harness.entry(home, EndpointHealth.DRAINING, 0));
    for (int i = 0; i < 20; i++) {
      h.arrive(200 + i, READ, 5);
      assertTrue(h.last().server() != home);
    }
  }

  /**
   * A list alone is no proof that a cache is gone; with its own silence it is. What drained stays
   * away.
   */
  @Test
  void removedCacheIsUsedUntilItIsSilentWhereRemovalIsAdvisory() {
    Harness h = new Harness(Harness.soft(Harness.settings(false)));
    h.caches(4);
    long home = h.home(5);
    h.list(EndpointListKind.FULL, Harness.entry(home % 4 + 1, EndpointHealth.READY, 0));
    assertEquals(home, h.home(5), "left out of a full list");
    h.list(EndpointListKind.DELTA, Harness.entry(home, EndpointHealth.GONE, 0));
    assertEquals(home, h.home(5), "called gone");
    h.arrive(100, READ, 5);
    h.close(h.last(), 0, AttemptOutcome.CONNECT_FAILED, false);
    assertTrue(h.last().server() != home, "called gone, and silent");
    h.close(h.last(), 1, AttemptOutcome.OK, true);
    h.list(EndpointListKind.DELTA, Harness.entry(home, EndpointHealth.READY, 0));
    assertEquals(home, h.home(5), "listed again");
    h.list(EndpointListKind.DELTA, Harness.entry(home, EndpointHealth.DRAINING, 0));
    h.list(EndpointListKind.DELTA, Harness.entry(home, EndpointHealth.GONE, 0));
    assertTrue(h.home(5) != home, "what drained is gone for good");
  }

  @Test
  void cacheThatIsSilentWhenItIsRemovedGetsNothingMore() {
    Harness h = new Harness(Harness.soft(Harness.settings(false)));
    h.caches(4);
    long home = h.home(5);
    h.arrive(100, READ, 5);
    h.close(h.last(), 0, AttemptOutcome.RESET, false);
    h.list(EndpointListKind.DELTA, Harness.entry(home, EndpointHealth.GONE, 0));
    assertTrue(h.home(5) != home);
  }

  /**
   * Whatever the list says meanwhile: a new boot time, gone and listed again, a whole list.
   * Operators restart it while it is excluded: it comes back held to its slow-start budget, and
   * past whatever had it ejected. With all of them out a request is refused at once, with a time to
   * come back.
   */
  @Test
  void excludedCacheGetsNothingUntilItIsBackAndWarmsUpThen() {
    Harness h = through();
    long out = h.home(5);
    h.reads(
        200,
        300,
        10 * MS,
        (send, attempt) ->
            h.close(
                send,
                attempt,
                send.server() == out ? AttemptOutcome.RESET : AttemptOutcome.OK,
                send.server() != out));
    assertEquals(1, h.router.view().avoided());
    h.operatorOverride(out, true);
    h.operatorOverride(out, true);
    assertEquals(1, h.router.view().avoided());
    h.list(EndpointListKind.DELTA, Harness.entry(out, EndpointHealth.READY, h.now));
    h.list(EndpointListKind.DELTA, Harness.entry(out, EndpointHealth.GONE, 0));
    h.list(EndpointListKind.DELTA, Harness.entry(out, EndpointHealth.READY, h.now + 1));
    h.caches(6);
    assertEquals(0, h.served(300, 500, 10 * MS, out));
    h.operatorOverride(out, false);
    assertEquals(0, h.router.view().avoided());
    long got = h.served(500, 1500, MS, out);
    assertTrue(got > 0 && got < 120, got + " of 1000 sends, an even part is 167");
    LongStream.rangeClosed(1, 6).forEach(i -> h.operatorOverride(i, true));
    h.arrive(1500, READ, 5);
    assertTrue(
        h.actions.get(h.actions.size() - 1).matches("refuse 1500 [1-9][0-9]*"), "all are out");
  }

  /** The list tells when it was restarted while it was out: it is as warm as that. */
  @Test
  void cacheThatIsBackIsAsOldAsListSaysIfItStartedWhileExcluded() {
    long[] got = new long[2];
    for (int listed = 0; listed < 2; listed++) {
      Harness h = through();
      long server = h.home(5);
      h.served(200, 1200, 10 * MS, server);
      h.operatorOverride(server, true);
      h.now += SECOND;
      if (listed == 1) {
        h.list(EndpointListKind.DELTA, Harness.entry(server, EndpointHealth.READY, h.now));
      }
      h.served(1200, 2200, 10 * MS, server);
      h.operatorOverride(server, false);
      got[listed] = h.served(2200, 2500, 10 * MS, server);
    }
    assertTrue(got[0] < got[1], got[0] + " and " + got[1]);
  }

  /**
   * All caches have just started: without what the one before had counted nearly all is refused.
   */
  @Test
  void successorBeginsWithItsPartOfSlowStartBudgets() {
    Harness before = through();
    before.served(200, 2200, 5 * MS, 0);
    for (boolean warmStart : new boolean[] {false, true}) {
      Harness h = new Harness(Harness.settings(false));
      if (warmStart) {
        h.router.handle(h.now, new RoutingEvent.WarmStarted(before.router.warmStartState()));
      }
      LongStream.rangeClosed(1, 6)
          .forEach(
              i -> h.list(EndpointListKind.DELTA, Harness.entry(i, EndpointHealth.READY, h.now)));
      h.served(1, 401, 5 * MS, 0);
      assertTrue(
          warmStart ? h.sends.size() > 120 : h.sends.size() < 60,
          warmStart + ": " + h.sends.size());
    }
  }

  /** Told before the first list, as to a new process of the same router. */
  @Test
  void exclusionBeforeFirstListHoldsAndSoItDoesUnderNewSettings() {
    Harness h = new Harness(Harness.settings(false));
    h.operatorOverride(1, true);
    h.caches(2);
    RingRouter next = new RingRouter(Harness.settings(false), 1, h.now, h, h.router);
    assertEquals(1, next.view().avoided());
    for (int key = 1; key < 50; key++) {
      next.handle(
          h.now, new RoutingEvent.RequestArrived(key, 0, 0, key, READ, SECOND, false, false, 0));
    }
    assertEquals(List.of(), h.sends.stream().filter(s -> s.server() == 1).toList());
    assertTrue(h.sends.size() > 10);
  }

  @Test
  void queuedRequestIsNotSentWhereItsKeyIsCachedOnceThatCacheDrains() {
    Harness h = Harness.cacheAside(2);
    h.miss(1, 5);
    long home = h.sends.get(0).server();
    Harness.Send fetch = h.last();
    h.arrive(2, READ, 5);
    h.list(EndpointListKind.DELTA, Harness.entry(home, EndpointHealth.DRAINING, 0));
    h.close(fetch, 1, AttemptOutcome.OK, true);
    assertEquals(3 - home, h.last().server());
  }

  @Test
  void missAfterDeadlineIsAnsweredAtOnce() {
    Harness h = Harness.cacheAside(1);
    h.miss(9, 5);
    h.arrive(1, READ, 6, 100 * MS);
    Harness.Send late = h.last();
    h.now += 104 * MS;
    h.close(late, 0, AttemptOutcome.MISS, false);
    assertEquals(List.of(1L), h.refused);
  }

  @Test
  void requestThatWaitsForFetchIsAnsweredLongBeforeItsDeadline() {
    Harness h = Harness.cacheAside(1);
    h.miss(1, 5);
    h.arrive(2, READ, 5, SECOND);
    h.pass(600 * MS);
    assertEquals(List.of(2L), h.refused);
  }

  @Test
  void nothingFollowsTheEnd() {
    Harness h = through();
    h.arrive(100, KEYED_ALL, 5);
    h.pass(1100 * MS);
    assertEquals(2, h.sends.size());
    Harness.Send first = h.sends.get(0);
    Harness.Send second = h.sends.get(1);
    h.close(second, 1, AttemptOutcome.OK, true);
    h.actions.clear();
    h.close(first, 0, AttemptOutcome.ERROR, true);
    h.pass(5 * SECOND);
    assertEquals(List.of(), h.actions);
  }

  @Test
  void requestIsRejectedAtOnceWithoutCaches() {
    Harness h = new Harness(Harness.settings(false));
    h.list(EndpointListKind.CACHED);
    h.arrive(1, READ, 5);
    h.arrive(2, UNSAFE, 5);
    assertEquals(List.of(1L, 2L), h.refused);
  }

  @Test
  void noMoreAttemptsThanAllowed() {
    Harness h = new Harness(Harness.settings(false, 1, List.of(), 2));
    h.caches(5);
    for (int i = 1; i <= 50; i++) {
      h.serve(i, i);
    }
    h.arrive(100, READ, 5);
    h.close(h.last(), 0, AttemptOutcome.REJECTED, false);
    h.close(h.last(), 1, AttemptOutcome.REJECTED, false);
    assertEquals(52, h.sends.size());
    assertEquals(List.of(100L), h.refused);
  }

  @Test
  void oddListsEndInPromptRejectionOrLegalSend() {
    Harness h = new Harness(Harness.settings(true, 400, List.of()));
    h.arrive(1, READ, 5);
    h.list(EndpointListKind.CACHED, Harness.origin(50));
    h.arrive(2, READ, 5);
    h.list(EndpointListKind.DELTA);
    h.list(EndpointListKind.DELTA, Harness.entry(1, EndpointHealth.DRAINING, 0));
    h.arrive(3, READ, 5);
    assertEquals(List.of(1L, 2L, 3L), h.refused);
    assertEquals(List.of(), h.sends);
    h.list(EndpointListKind.DELTA, Harness.cache(2));
    h.list(EndpointListKind.DELTA, Harness.cache(2));
    h.arrive(4, READ, 5);
    assertEquals(2L, h.last().server());
  }

  @Test
  void newBootTimeKeepsRequestInFlightAndHoldsCacheToItsBudget() {
    Harness h = through();
    h.arrive(100, READ, 5);
    Harness.Send out = h.last();
    h.list(EndpointListKind.DELTA, Harness.entry(out.server(), EndpointHealth.READY, h.now));
    h.arrive(101, READ, 5);
    h.close(out, 0, AttemptOutcome.RESET, false);
    assertTrue(
        h.sends.stream().skip(1).noneMatch(s -> s.server() == out.server()), h.sends.toString());
  }

  @Test
  void severalHundredCachesEachGetKeys() {
    Harness h = new Harness(Harness.settings(false, 1, List.of()));
    h.caches(400);
    for (int i = 0; i < 8000; i++) {
      h.serve(i, i + 1);
    }
    assertEquals(400, h.sends.stream().map(Harness.Send::server).distinct().count());
  }
}
