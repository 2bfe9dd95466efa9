package beaconturn.decision;

import static beaconturn.decision.Harness.MS;
import static beaconturn.decision.Harness.READ;
import static beaconturn.decision.Harness.SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Where caches fetch: whether a late answer counts against the cache or against the origin, and
 * what an answer may hold that its client takes slowly.
 */
class AttemptFeedbackTest {
  private static final int CACHES = 12;
  private final Harness h = new Harness(Harness.settings(false));
  private long request;

  AttemptFeedbackTest() {
    h.caches(CACHES);
    for (int i = 0; i < 60; i++) {
      fetch();
      h.close(h.last(), 0, AttemptOutcome.OK, true);
      h.pass(20 * MS);
    }
  }

  /** A read of a key that no cache is known to hold. */
  private Harness.Send fetch() {
    request++;
    h.arrive(request, READ, request);
    return h.last();
  }

  private int sendsSince(Runnable events) {
    int before = h.sends.size();
    events.run();
    return h.sends.size() - before;
  }

  @Test
  void lateFetchAtSilentCacheIsHedged() {
    fetch();
    assertEquals(1, sendsSince(() -> h.pass(SECOND / 2)));
  }

  /** Hedges of fetches that the origin holds up only add to it, and past any limit in flight. */
  @Test
  void lateFetchAtCacheThatAnswersOthersIsNotHedged() {
    Harness.Send late = fetch();
    Harness.Send other = fetch();
    while (other.server() != late.server()) {
      h.close(other, 0, AttemptOutcome.OK, true);
      other = fetch();
    }
    h.pass(MS);
    h.close(other, 0, AttemptOutcome.OK, true);
    assertEquals(0, sendsSince(() -> h.pass(SECOND / 2)));
  }

  /** Timeouts of silent caches must not shrink the fetches that all others may have out. */
  @Test
  void timeoutsOfSilentCachesDoNotShrinkOriginLimit() {
    for (int i = 0; i < 2 * CACHES; i++) {
      Harness.Send silent = fetch();
      h.now += SECOND;
      h.close(silent, 0, AttemptOutcome.TIMEOUT, true);
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

  /** The same timeouts at caches that answer others are the origin's, and its limit does shrink. */
  @Test
  void timeoutsAtCachesThatAnswerOthersShrinkOriginLimit() {
    for (int i = 0; i < 2 * CACHES; i++) {
      Harness.Send slow = fetch();
      h.now += SECOND;
      Harness.Send other = fetch();
      for (int k = 0; k < CACHES && other.server() != slow.server(); k++) {
        other = fetch();
      }
      h.close(other, 0, AttemptOutcome.REJECTED, true);
      h.close(slow, 0, AttemptOutcome.TIMEOUT, true);
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
   * A fetch through a cache takes half the aim when nothing is crowded: that must not shrink the
   * limit.
   */
  @Test
  void fetchesWithinTwoThirdsOfTheirObjectiveDoNotShrinkOriginLimit() {
    for (int i = 0; i < 4 * CACHES; i++) {
      fetch();
      h.now += 2 * SECOND / 3;
      h.fetched(2 * SECOND / 3);
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

  private void begins(Harness.Send send) {
    h.router.handle(
        h.now, new RoutingEvent.ResponseStarted(send.request(), 20 * MS, send.server(), 0));
  }

  @Test
  void requestThatWaitsForStreamedKeyGoesToItsCacheAtFirstBytes() {
    Harness.Send leader = fetch();
    assertEquals(0, sendsSince(() -> h.arrive(200, READ, leader.request())), "one fetch a key");
    assertEquals(1, sendsSince(() -> begins(leader)));
    assertEquals(List.of(200L, leader.server()), List.of(h.last().request(), h.last().server()));
    assertEquals(0, sendsSince(() -> h.close(leader, 0, AttemptOutcome.OK, true)));
    assertEquals(List.of(), h.refused);
  }

  /** After late answers each limit is a part of what caches were at work on. */
  @Test
  void streamedAnswersAreNotCountedInLimits() {
    for (int i = 0; i < 4 * CACHES; i++) {
      begins(fetch());
    }
    h.reads(200, 260, SECOND, (send, attempt) -> h.hit(SECOND));
    h.refused.clear();
    assertEquals(1, sendsSince(this::fetch));
    assertEquals(List.of(), h.refused);
  }

  /** The mechanism's load stays own sends in flight: a transfer still counts for the walk. */
  @Test
  void streamedAnswersAreCountedInLoad() {
    long home = h.home(5);
    for (int i = 200; i < 202; i++) {
      h.arrive(i, READ, 5);
      begins(h.last());
    }
    h.arrive(202, READ, 5);
    assertNotEquals(home, h.last().server(), "two are its cap among caches at rest");
  }
}
