package beaconturn.decision;

import static beaconturn.decision.RouterHarness.MS;
import static beaconturn.decision.RouterHarness.READ;
import static beaconturn.decision.RouterHarness.SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

/** Tests the ejection of caches. */
class OutlierDetectorTest {
  @SuppressWarnings("ReferenceEquality") // Two sends may be equal.
  @Test
  void fastFailingCacheLosesItsKeys() {
    RouterHarness harness = new RouterHarness(RouterHarness.settings(false));
    harness.addCaches(6);
    harness.arrive(1, READ, 5);
    long failing = harness.lastSend().serverId();
    int sendsToFailing = 0;
    for (int i = 0; i < 40; i++) {
      harness.nowNanos += 10 * MS;
      harness.arrive(100 + i, READ, 5);
      RouterHarness.Send first = harness.lastSend();
      if (first.serverId() == failing) {
        sendsToFailing++;
        harness.closeAttempt(first, 0, AttemptOutcome.ERROR, false);
      }
      int attempt = harness.lastSend() == first ? 0 : 1;
      harness.closeAttempt(harness.lastSend(), attempt, AttemptOutcome.OK, true);
    }
    assertTrue(
        sendsToFailing >= 3 && sendsToFailing < 20,
        "sends to the failing cache: " + sendsToFailing);
  }

  /** The cache has received no requests for a long time while others responded. */
  @Test
  void singleFailureEjectsCacheWithRareResponses() {
    RouterHarness harness = new RouterHarness(RouterHarness.settings(false));
    harness.addCaches(6);
    RouterHarness.homeCaches(harness, 60);
    long home = harness.homeCache(5);
    long other =
        LongStream.range(100, 200)
            .filter(key -> harness.homeCache(key) != home)
            .findFirst()
            .orElseThrow();
    for (int i = 0; i < 300; i++) {
      harness.nowNanos += SECOND / 10;
      harness.readFromCache(1000 + i, other);
    }
    harness.arrive(500, READ, 5);
    assertEquals(home, harness.lastSend().serverId());
    harness.closeAttempt(harness.lastSend(), 0, AttemptOutcome.ERROR, false);
    harness.closeAttempt(harness.lastSend(), 1, AttemptOutcome.OK, true);
    assertEquals(ServerStatus.EJECTED, harness.router.view().servers().get(home));
    harness.arrive(501, READ, 5);
    assertNotEquals(home, harness.lastSend().serverId());
  }

  /** Lack of a descriptor or port on the router's machine must not count against any cache. */
  @Test
  void localSendFailuresEjectNoCache() {
    RouterHarness harness = new RouterHarness(RouterHarness.settings(false));
    harness.addCaches(6);
    harness.countReadsSentTo(1, 40, 20 * MS, 1);
    harness.reads(
        100,
        200,
        20 * MS,
        (send, attempt) -> {
          boolean unsent = send.serverId() == 1;
          harness.closeAttempt(
              send, attempt, unsent ? AttemptOutcome.NOT_SENT : AttemptOutcome.OK, !unsent);
        });
    assertTrue(
        harness.router.view().servers().values().stream()
            .allMatch(status -> status == ServerStatus.ACTIVE),
        harness.router.view()::toString);
    int before = harness.sends.size();
    harness.reads(
        300,
        340,
        20 * MS,
        (send, attempt) -> harness.closeAttempt(send, attempt, AttemptOutcome.OK, true));
    assertTrue(harness.sends.size() - before >= 40, "all caches are used again");
  }
}
