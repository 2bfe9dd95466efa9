package beaconturn.decision;

import static beaconturn.decision.RouterHarness.MS;
import static beaconturn.decision.RouterHarness.READ;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Tests keys that fail at every cache. */
class KeyFailuresTest {
  /** Errors caused by a key must not count against the caches. */
  @Test
  void errorsOfFailingKeyDoNotEjectCachesAndAreNotRetried() {
    RouterHarness harness = new RouterHarness(RouterHarness.settings(false));
    harness.addCaches(6);
    harness.reads(
        0,
        60,
        5 * MS,
        (send, attempt) -> harness.closeAttempt(send, attempt, AttemptOutcome.OK, true));
    int before = harness.sends.size();
    for (int i = 0; i < 200; i++) {
      harness.nowNanos += 5 * MS;
      int first = harness.sends.size();
      harness.arrive(1000 + i, READ, 7);
      for (int k = first; k < harness.sends.size(); k++) {
        harness.closeAttempt(harness.sends.get(k), k - first, AttemptOutcome.ERROR, false, MS);
      }
      harness.readFromCache(5000 + i, 20_000 + i);
    }
    long failingKeySends =
        harness.sends.stream().skip(before).filter(send -> send.requestId() < 5000).count();
    assertTrue(
        failingKeySends > 50 && failingKeySends < 150,
        "sends for the failing key: " + failingKeySends);
    assertTrue(
        harness.router.view().servers().values().stream()
            .allMatch(status -> status == ServerStatus.ACTIVE));
    harness.arrive(9000, READ, 30_000);
    harness.closeAttempt(harness.lastSend(), 0, AttemptOutcome.ERROR, false, MS);
    assertEquals(9000, harness.lastSend().requestId(), "other keys are retried");
    assertTrue(harness.rejected.stream().filter(r -> r == 9000).findAny().isEmpty());
  }

  /**
   * Every cache resets connections on which it receives the key; the router must not send the key
   * to many caches.
   */
  @Test
  void keyThatResetsConnectionsIsSentToFewCaches() {
    RouterHarness harness = new RouterHarness(RouterHarness.settings(false));
    harness.addCaches(8);
    harness.reads(
        0,
        60,
        5 * MS,
        (send, attempt) -> harness.closeAttempt(send, attempt, AttemptOutcome.OK, true));
    int before = harness.sends.size();
    for (int i = 0; i < 100; i++) {
      harness.nowNanos += 5 * MS;
      int first = harness.sends.size();
      harness.arrive(1000 + i, READ, 7);
      for (int k = first; k < harness.sends.size(); k++) {
        harness.closeAttempt(harness.sends.get(k), k - first, AttemptOutcome.RESET, false, MS);
      }
    }
    assertTrue(
        harness.sends.size() - before < 50, "sent " + (harness.sends.size() - before) + " times");
    assertEquals(100, harness.rejected.size());
  }
}
