package beaconturn.decision;

import static beaconturn.decision.RouterHarness.MS;
import static beaconturn.decision.RouterHarness.READ;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests retries by clients whose request was given up. */
class ClientRetriesTest {
  @Test
  void clientRetryKeepsObjectiveOfFirstRequestAndIsRejectedAfterIt() {
    RouterHarness harness = RouterHarness.cacheAside(4);
    harness.arrive(1, READ, 5);
    harness.nowNanos += 400 * MS;
    harness.closeAttempt(harness.lastSend(), 0, AttemptOutcome.TIMEOUT, false);
    harness.nowNanos += 600 * MS;
    harness.closeAttempt(
        harness.lastSend(), harness.sends.size() - 1, AttemptOutcome.TIMEOUT, false);
    assertEquals(List.of(1L), harness.rejected);
    int sent = harness.sends.size();
    harness.readWithHint(2, 5, 0, true);
    assertEquals(List.of(1L, 2L), harness.rejected);
    assertEquals(sent, harness.sends.size());
    harness.readWithHint(3, 6, 0, true);
    assertEquals(sent + 1, harness.sends.size());
  }
}
