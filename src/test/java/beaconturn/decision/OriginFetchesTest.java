package beaconturn.decision;

import static beaconturn.decision.RouterHarness.READ;
import static beaconturn.decision.RouterHarness.SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests coalesced fetches and what happens when they end. */
class OriginFetchesTest {
  @Test
  void requestsForFetchedKeyWaitAndAreSentToItsCache() {
    RouterHarness harness = RouterHarness.cacheAside(2);
    harness.readMissing(1, 5);
    long home = harness.sends.get(0).serverId();
    RouterHarness.Send fetch = harness.lastSend();
    assertEquals(50L, fetch.serverId());
    harness.arrive(2, READ, 5);
    assertEquals(2, harness.sends.size());
    harness.closeAttempt(fetch, 1, AttemptOutcome.OK, true);
    assertEquals(new RouterHarness.Send(2, home, SECOND), harness.lastSend());
  }

  @Test
  void failedFetchIsRepeatedByNextWaitingRequest() {
    RouterHarness harness = RouterHarness.cacheAside(1);
    harness.readMissing(1, 5);
    RouterHarness.Send fetch = harness.lastSend();
    harness.arrive(2, READ, 5);
    harness.closeAttempt(fetch, 1, AttemptOutcome.ERROR, false);
    assertEquals(List.of(1L), harness.rejected);
    assertEquals(2L, harness.lastSend().requestId());
    assertEquals(50L, harness.lastSend().serverId());
  }
}
