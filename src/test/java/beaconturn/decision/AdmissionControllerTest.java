package beaconturn.decision;

import static beaconturn.decision.Harness.MS;
import static beaconturn.decision.Harness.READ;
import static beaconturn.decision.Harness.SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** When a request is rejected, and how limits on attempts in flight are learned. */
class AdmissionControllerTest {
  @Test
  void requestsBeyondQuotaAreShedFirstThoughLimitsAreBelowOne() {
    Harness h =
        new Harness(
            Harness.settings(false, 400, List.of(new Tenant(40, 0.5), new Tenant(400, 0.5))));
    h.caches(6);
    int[] refused = new int[2];
    for (int i = 0; i < 600; i++) {
      h.now += 100 * MS;
      int tenant = i % 4 == 0 ? 1 : 0;
      int before = h.refused.size();
      h.router.handle(
          h.now, new RoutingEvent.RequestArrived(i, tenant, 0, i, READ, SECOND, false, false, 0));
      refused[tenant] += h.refused.size() - before;
      if (h.refused.size() == before) {
        h.hit(400 * MS);
      }
    }
    assertEquals(0, refused[1]);
    assertTrue(refused[0] > 200, "refused beyond the quota: " + refused[0]);
  }

  /**
   * Guards against a short spell of slow answers that shuts requests out long after it: the limit
   * in flight falls to one a cache, and by one in as many answers it would take seconds to come
   * back.
   */
  @Test
  void cacheLimitGrowsAgainSoonAfterSlowAnswers() {
    assertEquals(List.of(), rejectedAfterSlowAnswers(0));
  }

  /**
   * Guards against hits that teach nothing because the key is new here: one of many routers seldom
   * meets a key twice, so nearly all its answers are of that kind, and its limit stayed low.
   */
  @Test
  void hitsOnKeysThatAreNewHereMakeCacheLimitGrowToo() {
    assertEquals(List.of(), rejectedAfterSlowAnswers(1000));
  }

  /**
   * Sixty slow answers on known keys, sixty quick ones on keys that many further, then thirty at
   * once.
   */
  private static List<Long> rejectedAfterSlowAnswers(int further) {
    Harness h = new Harness(Harness.settings(false));
    h.caches(8);
    Harness.homes(h, 30);
    for (int i = 1; i <= 60; i++) {
      h.arrive(100 + i, READ, (i % 30 + 1) * 7919L);
      h.now += 50 * MS;
      h.hit(900 * MS);
    }
    for (int i = 1; i <= 60; i++) {
      h.arrive(200 + i, READ, (further + i % 30 + 1) * 7919L);
      h.now += 20 * MS;
      h.hit(20 * MS);
    }
    h.refused.clear();
    for (int i = 1; i <= 30; i++) {
      h.arrive(300 + i, READ, i * 7919L);
    }
    return h.refused;
  }

  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void readsAreNotHeldToOriginLimitWhereHitsAreNotReported(boolean reported) {
    Harness h =
        reported
            ? new Harness(Harness.settings(false, 100, List.of()))
            : Harness.withoutHedging(false, 100, 0);
    h.caches(6);
    for (int i = 0; i < 60; i++) {
      h.now += 100 * MS;
      h.arrive(i, Harness.UNSAFE, i);
      h.close(h.last(), 0, AttemptOutcome.ERROR, false);
    }
    int before = h.sends.size();
    h.reads(100, 110, 0, (s, n) -> {});
    assertEquals(!reported, h.sends.size() - before == 10, "sent: " + (h.sends.size() - before));
  }

  @Test
  void timeoutsDoNotShrinkCacheLimitWithoutHedging() {
    Harness h = Harness.withoutHedging(false, 100, 6);
    h.reads(
        0,
        300,
        100 * MS,
        (s, n) -> {
          boolean lost = s.request() % 3 == 0;
          h.close(
              s,
              n,
              lost ? AttemptOutcome.TIMEOUT : AttemptOutcome.OK,
              !lost,
              (lost ? 2000 : 50) * MS);
        });
    // A lost request is itself refused, unless a further attempt is earned.
    assertTrue(h.refused.size() <= 100, "refused of 300: " + h.refused.size());
  }
}
