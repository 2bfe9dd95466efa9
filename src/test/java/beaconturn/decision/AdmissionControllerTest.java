package beaconturn.decision;

import static beaconturn.decision.RouterHarness.MS;
import static beaconturn.decision.RouterHarness.READ;
import static beaconturn.decision.RouterHarness.SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests admission of requests and adaptation of the concurrency limits. */
class AdmissionControllerTest {
  @Test
  void requestsOverQuotaAreShedFirstAtLimitsBelowOne() {
    RouterHarness harness =
        new RouterHarness(
            RouterHarness.settings(false, 400, List.of(new Tenant(40, 0.5), new Tenant(400, 0.5))));
    harness.addCaches(6);
    int[] rejected = new int[2];
    for (int i = 0; i < 600; i++) {
      harness.nowNanos += 100 * MS;
      int tenant = i % 4 == 0 ? 1 : 0;
      int before = harness.rejected.size();
      harness.router.handle(
          harness.nowNanos,
          new RoutingEvent.RequestArrived(i, tenant, 0, i, READ, SECOND, false, false, 0));
      rejected[tenant] += harness.rejected.size() - before;
      if (harness.rejected.size() == before) {
        harness.respondFromCache(400 * MS);
      }
    }
    assertEquals(0, rejected[1]);
    assertTrue(rejected[0] > 200, "rejected over quota: " + rejected[0]);
  }

  /**
   * Guards against rejections long after a short slow period: increasing the limit by one per round
   * of responses would take seconds to recover.
   */
  @Test
  void cacheLimitRecoversSoonAfterSlowResponses() {
    assertEquals(List.of(), rejectedAfterSlowResponses(0));
  }

  /**
   * Guards against ignoring hits on keys that are new to the router: with many routers nearly all
   * hits are of that kind, and the limit would stay low.
   */
  @Test
  void hitsOnNewKeysIncreaseCacheLimit() {
    assertEquals(List.of(), rejectedAfterSlowResponses(1000));
  }

  /**
   * Sends 60 slow reads of known keys and 60 fast reads of keys shifted by {@code keyOffset}, then
   * returns the rejections among 30 concurrent reads.
   */
  private static List<Long> rejectedAfterSlowResponses(int keyOffset) {
    RouterHarness harness = new RouterHarness(RouterHarness.settings(false));
    harness.addCaches(8);
    RouterHarness.homeCaches(harness, 30);
    for (int i = 1; i <= 60; i++) {
      harness.arrive(100 + i, READ, (i % 30 + 1) * 7919L);
      harness.nowNanos += 50 * MS;
      harness.respondFromCache(900 * MS);
    }
    for (int i = 1; i <= 60; i++) {
      harness.arrive(200 + i, READ, (keyOffset + i % 30 + 1) * 7919L);
      harness.nowNanos += 20 * MS;
      harness.respondFromCache(20 * MS);
    }
    harness.rejected.clear();
    for (int i = 1; i <= 30; i++) {
      harness.arrive(300 + i, READ, i * 7919L);
    }
    return harness.rejected;
  }

  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void readsAreNotSubjectToOriginLimitWithoutHitReports(boolean reported) {
    RouterHarness harness =
        reported
            ? new RouterHarness(RouterHarness.settings(false, 100, List.of()))
            : RouterHarness.withoutHedging(false, 100, 0);
    harness.addCaches(6);
    for (int i = 0; i < 60; i++) {
      harness.nowNanos += 100 * MS;
      harness.arrive(i, RouterHarness.UNSAFE, i);
      harness.closeAttempt(harness.lastSend(), 0, AttemptOutcome.ERROR, false);
    }
    int before = harness.sends.size();
    harness.reads(100, 110, 0, (send, attempt) -> {});
    assertEquals(
        !reported, harness.sends.size() - before == 10, "sent: " + (harness.sends.size() - before));
  }

  @Test
  void timeoutsDoNotReduceCacheLimitWithoutHedging() {
    RouterHarness harness = RouterHarness.withoutHedging(false, 100, 6);
    harness.reads(
        0,
        300,
        100 * MS,
        (send, attempt) -> {
          boolean lost = send.requestId() % 3 == 0;
          harness.closeAttempt(
              send,
              attempt,
              lost ? AttemptOutcome.TIMEOUT : AttemptOutcome.OK,
              !lost,
              (lost ? 2000 : 50) * MS);
        });
    // A lost request is itself rejected unless the retry budget holds an attempt.
    assertTrue(harness.rejected.size() <= 100, "rejected of 300: " + harness.rejected.size());
  }
}
