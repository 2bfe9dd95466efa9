package beaconturn.decision;

import static beaconturn.decision.RouterHarness.MS;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Tests the avoidance of caches to which connections fail. */
class ConnectionFailuresTest {
  @Test
  void cachesWithoutOpenConnectionsAreAvoidedWhileConnectionsFail() {
    RouterHarness harness = RouterHarness.withoutHedging(false, 1, 10);
    harness.reads(
        0,
        400,
        20 * MS,
        (send, attempt) ->
            harness.closeAttempt(
                send,
                attempt,
                send.serverId() <= 3 ? AttemptOutcome.OK : AttemptOutcome.CONNECT_FAILED,
                send.serverId() <= 3));
    long failedConnects =
        harness.sends.stream()
            .filter(send -> send.requestId() >= 200 && send.serverId() > 3)
            .count();
    assertTrue(
        failedConnects > 0 && failedConnects < 100,
        "failed connection attempts in 200 requests: " + failedConnects);
  }
}
