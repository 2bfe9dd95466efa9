package beaconturn.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Tests the division of keys among zones; caches with even ids are in zone 0. */
class ZoneWeightsTest {
  private static final int KEYS = 2000;

  private static ZoneWeights weights(int zone0Weight, int zone1Weight, boolean overflow) {
    return new ZoneWeights(List.of(0, 1), List.of(zone0Weight, zone1Weight), overflow);
  }

  /** Returns the keys whose first request is sent to zone 1; each request succeeds immediately. */
  private static Set<Long> keysSentToZone1(RouterHarness harness) {
    Set<Long> keysSentToZone1 = new HashSet<>();
    for (long key = 1; key <= KEYS; key++) {
      if (sent(harness, key, RouterHarness.READ) && harness.lastSend().serverId() % 2 == 1) {
        keysSentToZone1.add(key);
      }
    }
    return keysSentToZone1;
  }

  private static RouterHarness weighted(ZoneWeights weights) {
    RouterHarness harness = new RouterHarness(RouterHarness.settings(false));
    harness.addCaches(8);
    harness.router.handle(harness.nowNanos, new RoutingEvent.ZoneWeightsChanged(weights));
    return harness;
  }

  /** Sends a request; returns whether it was sent to a cache, which then responds immediately. */
  private static boolean sent(RouterHarness harness, long key, int requestClass) {
    int before = harness.sends.size();
    harness.nowNanos += RouterHarness.MS;
    harness.arrive(harness.nowNanos, requestClass, key);
    boolean sent = harness.sends.size() > before;
    if (sent) {
      harness.closeAttempt(harness.lastSend(), 0, AttemptOutcome.OK, true);
    }
    return sent;
  }

  @Test
  void zoneGetsItsWeightOfKeysAndKeepsThemAtHigherWeights() {
    Set<Long> atLowWeight = keysSentToZone1(weighted(weights(900, 100, true)));
    Set<Long> atHigherWeight = keysSentToZone1(weighted(weights(700, 300, true)));
    assertTrue(
        atLowWeight.size() > KEYS * 0.07 && atLowWeight.size() < KEYS * 0.13,
        atLowWeight.size() + " of " + KEYS);
    assertTrue(
        atHigherWeight.size() > KEYS * 0.26 && atHigherWeight.size() < KEYS * 0.34,
        atHigherWeight.size() + " of " + KEYS);
    assertTrue(atHigherWeight.containsAll(atLowWeight), "zone 1 keeps its keys at a higher weight");
    assertEquals(Set.of(), keysSentToZone1(weighted(weights(1000, 0, true))));
  }

  /** Keys beyond the sum of the weights are rejected immediately and not sent. */
  @Test
  void keysBeyondAllWeightsAreRejectedImmediately() {
    RouterHarness harness = weighted(weights(500, 100, true));
    int rejected = 0;
    for (long key = 1; key <= KEYS; key++) {
      rejected += sent(harness, key, RouterHarness.READ) ? 0 : 1;
      assertEquals(rejected, harness.rejected.size());
    }
    assertTrue(rejected > KEYS * 0.35 && rejected < KEYS * 0.45, rejected + " of " + KEYS);
  }

  /** Requests that must not be repeated are not sent to a trial zone while others are available. */
  @Test
  void onlyIdempotentRequestsAreSentToTrialZone() {
    RouterHarness harness = weighted(weights(ZoneWeights.MAX_TRIAL_WEIGHT, 950, true));
    for (long key = 1; key <= KEYS; key++) {
      assertTrue(sent(harness, key, RouterHarness.UNSAFE));
      assertEquals(1, harness.lastSend().serverId() % 2, "key " + key);
    }
    assertTrue(
        KEYS - keysSentToZone1(harness).size() > KEYS * 0.03, "reads are sent to the trial zone");
  }

  /**
   * The router's own zone takes keys of a zone without servers; other zones do so only with
   * overflow.
   */
  @Test
  void keysOfFailedZoneGoToOwnZoneAndToOthersOnlyWithOverflow() {
    RouterHarness harness = weighted(weights(700, 300, true));
    for (long server = 1; server <= 8; server += 2) {
      harness.operatorOverride(server, true);
    }
    assertEquals(Set.of(), keysSentToZone1(harness), "all keys go to zone 0");
    for (boolean overflow : new boolean[] {true, false}) {
      RouterHarness withoutZone0 = weighted(weights(700, 300, overflow));
      for (long server = 2; server <= 8; server += 2) {
        withoutZone0.operatorOverride(server, true);
      }
      int sentCount = 0;
      for (long key = 1; key <= KEYS; key++) {
        sentCount += sent(withoutZone0, key, RouterHarness.READ) ? 1 : 0;
      }
      assertTrue(overflow ? sentCount == KEYS : sentCount < KEYS * 0.35, sentCount + " of " + KEYS);
    }
  }

  /** A successor under new settings keeps the zone weights. */
  @Test
  void successorKeepsZoneWeights() {
    RouterHarness harness = weighted(weights(1000, 0, true));
    RingRouter next =
        new RingRouter(RouterHarness.settings(false), 9, harness.nowNanos, harness, harness.router);
    for (long key = 1; key <= 200; key++) {
      next.handle(
          harness.nowNanos,
          new RoutingEvent.RequestArrived(
              10_000 + key, 0, 0, key, 0, 2 * RouterHarness.SECOND, false, false, 0));
      assertEquals(0, harness.lastSend().serverId() % 2);
    }
  }
}
