package beaconturn.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Keys go to zones by weights; caches with even ids are in zone 0. */
class ZoneWeightsTest {
  private static final int KEYS = 2000;

  private static ZoneWeights weights(int near, int far, boolean overflow) {
    return new ZoneWeights(List.of(0, 1), List.of(near, far), overflow);
  }

  /** The keys that go to zone 1 first; each request is answered at once. */
  private static Set<Long> far(Harness h) {
    Set<Long> far = new HashSet<>();
    for (long key = 1; key <= KEYS; key++) {
      if (sent(h, key, Harness.READ) && h.last().server() % 2 == 1) {
        far.add(key);
      }
    }
    return far;
  }

  private static Harness weighted(ZoneWeights weights) {
    Harness h = new Harness(Harness.settings(false));
    h.caches(8);
    h.router.handle(h.now, new RoutingEvent.ZoneWeightsChanged(weights));
    return h;
  }

  /** Whether the request was sent anywhere; it is answered at once then. */
  private static boolean sent(Harness h, long key, int type) {
    int before = h.sends.size();
    h.now += Harness.MS;
    h.arrive(h.now, type, key);
    boolean sent = h.sends.size() > before;
    if (sent) {
      h.close(h.last(), 0, AttemptOutcome.OK, true);
    }
    return sent;
  }

  @Test
  void weightedPartOfKeysGoesFarAndAlwaysTheSameFirst() {
    Set<Long> some = far(weighted(weights(900, 100, true)));
    Set<Long> more = far(weighted(weights(700, 300, true)));
    assertTrue(some.size() > KEYS * 0.07 && some.size() < KEYS * 0.13, some.size() + " of " + KEYS);
    assertTrue(more.size() > KEYS * 0.26 && more.size() < KEYS * 0.34, more.size() + " of " + KEYS);
    assertTrue(more.containsAll(some), "the far cache servers go on with what they have");
    assertEquals(Set.of(), far(weighted(weights(1000, 0, true))));
  }

  /** What is missing to the whole is rejected at once, and sent nowhere. */
  @Test
  void whatNoZoneIsWeightedForIsRejectedAtOnce() {
    Harness h = weighted(weights(500, 100, true));
    int refused = 0;
    for (long key = 1; key <= KEYS; key++) {
      refused += sent(h, key, Harness.READ) ? 0 : 1;
      assertEquals(refused, h.refused.size());
    }
    assertTrue(refused > KEYS * 0.35 && refused < KEYS * 0.45, refused + " of " + KEYS);
  }

  /** A trial may fail: nothing that must not be repeated goes by it, nor a second attempt. */
  @Test
  void trialsAreOnlyIdempotentRequests() {
    Harness h = weighted(weights(ZoneWeights.MAX_TRIAL_WEIGHT, 950, true));
    for (long key = 1; key <= KEYS; key++) {
      assertTrue(sent(h, key, Harness.UNSAFE));
      assertEquals(1, h.last().server() % 2, "key " + key);
    }
    assertTrue(KEYS - far(h).size() > KEYS * 0.03, "reads are tried there");
  }

  /** The own zone takes over what another has no server for; another one only with overflow. */
  @Test
  void whatZoneCannotTakeGoesNearAndElsewhereOnlyWithOverflow() {
    Harness h = weighted(weights(700, 300, true));
    for (long server = 1; server <= 8; server += 2) {
      h.operatorOverride(server, true);
    }
    assertEquals(Set.of(), far(h), "all near");
    for (boolean overflow : new boolean[] {true, false}) {
      Harness emptied = weighted(weights(700, 300, overflow));
      for (long server = 2; server <= 8; server += 2) {
        emptied.operatorOverride(server, true);
      }
      int taken = 0;
      for (long key = 1; key <= KEYS; key++) {
        taken += sent(emptied, key, Harness.READ) ? 1 : 0;
      }
      assertTrue(overflow ? taken == KEYS : taken < KEYS * 0.35, taken + " of " + KEYS);
    }
  }

  /** A router that follows another under new settings goes on with the same weights. */
  @Test
  void successorKeepsWeights() {
    Harness h = weighted(weights(1000, 0, true));
    RingRouter next = new RingRouter(Harness.settings(false), 9, h.now, h, h.router);
    for (long key = 1; key <= 200; key++) {
      next.handle(
          h.now,
          new RoutingEvent.RequestArrived(
              10_000 + key, 0, 0, key, 0, 2 * Harness.SECOND, false, false, 0));
      assertEquals(0, h.last().server() % 2);
    }
  }
}
