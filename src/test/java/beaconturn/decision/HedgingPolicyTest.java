package beaconturn.decision;

import static beaconturn.decision.RouterHarness.MS;
import static beaconturn.decision.RouterHarness.READ;
import static beaconturn.decision.RouterHarness.SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests when an attempt is late and what follows. */
class HedgingPolicyTest {
  @Test
  void attemptTimesOutAtObjectiveInCacheAsideModeIfLateResponseIsWorthless() {
    for (boolean cacheAside : List.of(true, false)) {
      RouterHarness harness = new RouterHarness(RouterHarness.settings(cacheAside));
      harness.updateEndpoints(
          EndpointListKind.CACHED,
          RouterHarness.readyEndpoint(1),
          RouterHarness.readyEndpoint(2),
          RouterHarness.originEndpoint(50));
      harness.arrive(1, READ, 5, 2 * SECOND);
      assertEquals(cacheAside ? SECOND : 2 * SECOND, harness.lastSend().timeoutNanos());
      harness.closeAttempt(harness.lastSend(), 0, AttemptOutcome.OK, true);
      harness.arrive(2, READ, 5, 2 * SECOND);
      assertEquals(cacheAside ? SECOND : 2 * SECOND, harness.lastSend().timeoutNanos());
      harness.arrive(3, RouterHarness.UNSAFE, 6, 2 * SECOND);
      assertEquals(2 * SECOND, harness.lastSend().timeoutNanos());
    }
  }

  /** A read-through cache continues a cancelled fetch, so that the attempt stays open there. */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void lateAttemptIsReroutedWithoutHedgingInCacheAsideModeOnly(boolean cacheAside) {
    RouterHarness harness = RouterHarness.withoutHedging(cacheAside, 1, 6);
    harness.reads(0, 50, 0, (send, attempt) -> harness.respondFromCache(50 * MS));
    harness.arrive(100, READ, 5);
    RouterHarness.Send first = harness.lastSend();
    for (int i = 0; i < 5; i++) {
      harness.advance(99 * MS);
      harness.readFromCache(200 + i, 2000 + i);
    }
    assertEquals(List.of(), harness.actions.stream().filter(a -> a.startsWith("cancel")).toList());
    harness.advance((cacheAside ? 10 : 505) * MS);
    List<String> cancelActions =
        harness.actions.stream().filter(a -> a.startsWith("cancel")).toList();
    assertEquals(cacheAside ? List.of("cancel 100 0") : List.of(), cancelActions);
    if (cacheAside) {
      int sentBefore = harness.sends.size();
      harness.closeAttempt(first, 0, AttemptOutcome.CANCELLED, false);
      assertEquals(sentBefore + 1, harness.sends.size());
      assertNotEquals(first.serverId(), harness.lastSend().serverId());
    }
  }

  @Test
  void requestWithMoreWorkBecomesLateLater() {
    RouterHarness harness = new RouterHarness(RouterHarness.settings(false));
    harness.addCaches(6);
    for (int i = 0; i < 100; i++) {
      harness.lateAfterNanos(i, 10 * MS);
      harness.nowNanos += 20 * MS;
    }
    long lateAfterUsualWorkNanos = harness.lateAfterNanos(200, 10 * MS);
    assertTrue(
        harness.lateAfterNanos(201, 80 * MS) > lateAfterUsualWorkNanos + 100 * MS,
        "late after (nanoseconds), for usual work: " + lateAfterUsualWorkNanos);
    assertEquals(lateAfterUsualWorkNanos, harness.lateAfterNanos(202, MS), MS);
  }
}
