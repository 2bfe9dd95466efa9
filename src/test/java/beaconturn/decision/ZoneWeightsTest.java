package beaconturn.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/**
 * Keys go to places by the shares that are told; cache servers of even numbers stand in place 0.
 */
class ZoneWeightsTest {
  private static final int KEYS = 2000;

  private static ZoneWeights shares(int near, int far, boolean overflow) {
    return new ZoneWeights(List.of(0, 1), List.of(near, far), overflow);
  }

  /** How many keys go first to place 1; each request is answered at once. */
  private static Set<Long> far(Harness h) {
    Set<Long> far = new HashSet<>();
    for (long key = 1; key <= KEYS; key++) {
      if (sent(h, key, Harness.READ) && h.last().server() % 2 == 1) {
        far.add(key);
      }
    }
    return far;
  }

  private static Harness told(ZoneWeights shares) {
    Harness h = new Harness(Harness.settings(false));
    h.caches(8);
    h.router.handle(h.now, new RoutingEvent.ZoneWeightsChanged(shares));
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
  void soManyKeysGoFarAndAlwaysTheSameFirst() {
    Set<Long> some = far(told(shares(900, 100, true)));
    Set<Long> more = far(told(shares(700, 300, true)));
    assertTrue(some.size() > KEYS * 0.07 && some.size() < KEYS * 0.13, some.size() + " of " + KEYS);
    assertTrue(more.size() > KEYS * 0.26 && more.size() < KEYS * 0.34, more.size() + " of " + KEYS);
    assertTrue(more.containsAll(some), "the far cache servers go on with what they have");
    assertEquals(Set.of(), far(told(shares(1000, 0, true))));
  }

  /** What is missing to the whole is refused at once, and sent nowhere. */
  @Test
  void whatNoPlaceHasRoomForIsRefusedAtOnce() {
    Harness h = told(shares(500, 100, true));
    int refused = 0;
    for (long key = 1; key <= KEYS; key++) {
      refused += sent(h, key, Harness.READ) ? 0 : 1;
      assertEquals(refused, h.refused.size());
    }
    assertTrue(refused > KEYS * 0.35 && refused < KEYS * 0.45, refused + " of " + KEYS);
  }

  /** A trial may fail: nothing that must not be repeated goes by it, nor a second attempt. */
  @Test
  void byTrialsGoesOnlyWhatMayBeRepeated() {
    Harness h = told(shares(ZoneWeights.TRIAL, 950, true));
    for (long key = 1; key <= KEYS; key++) {
      assertTrue(sent(h, key, Harness.UNSAFE));
      assertEquals(1, h.last().server() % 2, "key " + key);
    }
    assertTrue(KEYS - far(h).size() > KEYS * 0.03, "reads are tried there");
  }

  /**
   * Its own place takes over what another has no server for; another only what was allotted to it.
   */
  @Test
  void whatAPlaceCannotTakeGoesNearAndElsewhereOnlyWhereThatWasAllotted() {
    Harness h = told(shares(700, 300, true));
    for (long server = 1; server <= 8; server += 2) {
      h.byHand(server, true);
    }
    assertEquals(Set.of(), far(h), "all near");
    for (boolean overflow : new boolean[] {true, false}) {
      Harness cold = told(shares(700, 300, overflow));
      for (long server = 2; server <= 8; server += 2) {
        cold.byHand(server, true);
      }
      int taken = 0;
      for (long key = 1; key <= KEYS; key++) {
        taken += sent(cold, key, Harness.READ) ? 1 : 0;
      }
      assertTrue(overflow ? taken == KEYS : taken < KEYS * 0.35, taken + " of " + KEYS);
    }
  }

  /** A module that follows another under new settings goes on by the same shares. */
  @Test
  void aSuccessorKeepsThem() {
    Harness h = told(shares(1000, 0, true));
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
