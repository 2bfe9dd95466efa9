package beaconturn.decision;

import static beaconturn.decision.RouterHarness.MS;
import static beaconturn.decision.RouterHarness.READ;
import static beaconturn.decision.RouterHarness.SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Tests in read-through mode whether late responses count against the cache or the origin, and how
 * streamed responses are counted.
 */
class AttemptFeedbackTest {
  private static final int CACHES = 12;
  private final RouterHarness harness = new RouterHarness(RouterHarness.settings(false));
  private long request;

  AttemptFeedbackTest() {
    harness.addCaches(CACHES);
    for (int i = 0; i < 60; i++) {
      fetch();
      harness.closeAttempt(harness.lastSend(), 0, AttemptOutcome.OK, true);
      harness.advance(20 * MS);
    }
  }

  /** Reads a key that no cache is known to hold. */
  private RouterHarness.Send fetch() {
    request++;
    harness.arrive(request, READ, request);
    return harness.lastSend();
  }

  private int sendsSince(Runnable events) {
    int before = harness.sends.size();
    events.run();
    return harness.sends.size() - before;
  }

  @Test
  void lateFetchAtUnresponsiveCacheIsHedged() {
    fetch();
    assertEquals(1, sendsSince(() -> harness.advance(SECOND / 2)));
  }

  /** Hedging fetches that the origin delays would only add to its load. */
  @Test
  void lateFetchAtResponsiveCacheIsNotHedged() {
    RouterHarness.Send late = fetch();
    RouterHarness.Send other = fetch();
    while (other.serverId() != late.serverId()) {
      harness.closeAttempt(other, 0, AttemptOutcome.OK, true);
      other = fetch();
    }
    harness.advance(MS);
    harness.closeAttempt(other, 0, AttemptOutcome.OK, true);
    assertEquals(0, sendsSince(() -> harness.advance(SECOND / 2)));
  }

  /** Timeouts of unresponsive caches must not reduce the fetch capacity of all others. */
  @Test
  void timeoutsOfUnresponsiveCachesDoNotReduceOriginLimit() {
    for (int i = 0; i < 2 * CACHES; i++) {
      RouterHarness.Send unanswered = fetch();
      harness.nowNanos += SECOND;
      harness.closeAttempt(unanswered, 0, AttemptOutcome.TIMEOUT, true);
    }
    assertEquals(
        CACHES,
        sendsSince(
            () -> {
              for (int i = 0; i < CACHES; i++) {
                fetch();
              }
            }));
  }

  /** Timeouts at caches that respond to other attempts are the origin's, and reduce its limit. */
  @Test
  void timeoutsAtResponsiveCachesReduceOriginLimit() {
    for (int i = 0; i < 2 * CACHES; i++) {
      RouterHarness.Send slow = fetch();
      harness.nowNanos += SECOND;
      RouterHarness.Send other = fetch();
      for (int k = 0; k < CACHES && other.serverId() != slow.serverId(); k++) {
        other = fetch();
      }
      harness.closeAttempt(other, 0, AttemptOutcome.REJECTED, true);
      harness.closeAttempt(slow, 0, AttemptOutcome.TIMEOUT, true);
    }
    assertEquals(
        0,
        sendsSince(
            () -> {
              for (int i = 0; i < CACHES; i++) {
                fetch();
              }
            }));
  }

  /**
   * A read-through fetch takes half of the objective without load, which must not reduce the limit.
   */
  @Test
  void fetchesWithinTwoThirdsOfObjectiveDoNotReduceOriginLimit() {
    for (int i = 0; i < 4 * CACHES; i++) {
      fetch();
      harness.nowNanos += 2 * SECOND / 3;
      harness.respondAfterFetch(2 * SECOND / 3);
    }
    assertEquals(
        CACHES,
        sendsSince(
            () -> {
              for (int i = 0; i < CACHES; i++) {
                fetch();
              }
            }));
  }

  private void startResponse(RouterHarness.Send send) {
    harness.router.handle(
        harness.nowNanos,
        new RoutingEvent.ResponseStarted(send.requestId(), 20 * MS, send.serverId(), 0));
  }

  @Test
  void requestWaitingForStreamedKeyIsSentToItsCacheWhenResponseStarts() {
    RouterHarness.Send leader = fetch();
    assertEquals(
        0, sendsSince(() -> harness.arrive(200, READ, leader.requestId())), "one fetch per key");
    assertEquals(1, sendsSince(() -> startResponse(leader)));
    assertEquals(
        List.of(200L, leader.serverId()),
        List.of(harness.lastSend().requestId(), harness.lastSend().serverId()));
    assertEquals(0, sendsSince(() -> harness.closeAttempt(leader, 0, AttemptOutcome.OK, true)));
    assertEquals(List.of(), harness.rejected);
  }

  /** After late responses, each limit is a fraction of the attempts that caches were serving. */
  @Test
  void streamedResponsesDoNotCountAgainstLimits() {
    for (int i = 0; i < 4 * CACHES; i++) {
      startResponse(fetch());
    }
    harness.reads(200, 260, SECOND, (send, attempt) -> harness.respondFromCache(SECOND));
    harness.rejected.clear();
    assertEquals(1, sendsSince(this::fetch));
    assertEquals(List.of(), harness.rejected);
  }

  /** A streamed response that the client is still receiving counts as load in the ring walk. */
  @Test
  void streamedResponsesCountAsLoad() {
    long home = harness.homeCache(5);
    for (int i = 200; i < 202; i++) {
      harness.arrive(i, READ, 5);
      startResponse(harness.lastSend());
    }
    harness.arrive(202, READ, 5);
    assertNotEquals(
        home, harness.lastSend().serverId(), "a cache has a cap of two while others are idle");
  }
}
