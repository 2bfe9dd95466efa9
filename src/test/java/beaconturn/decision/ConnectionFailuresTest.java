package beaconturn.decision;

import static beaconturn.decision.Harness.MS;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Caches that give no connection. */
class ConnectionFailuresTest {
  @Test
  void whileConnectionsFailOnlyCachesWithOpenOnesAreAskedButForAFew() {
    Harness h = Harness.withoutHedging(false, 1, 10);
    h.reads(
        0,
        400,
        20 * MS,
        (s, n) ->
            h.close(
                s,
                n,
                s.server() <= 3 ? AttemptOutcome.OK : AttemptOutcome.CONNECT_FAILED,
                s.server() <= 3));
    long dialled = h.sends.stream().filter(s -> s.request() >= 200 && s.server() > 3).count();
    assertTrue(dialled > 0 && dialled < 100, "dials that failed in 200 requests: " + dialled);
  }
}
