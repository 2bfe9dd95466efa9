package beaconturn.decision;

import static beaconturn.decision.Harness.MS;
import static beaconturn.decision.Harness.READ;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Further tries of clients whose request was given up. */
class ClientRetriesTest {
  @Test
  void clientRetryKeepsObjectiveOfFirstTryAndIsGivenUpAtOnceAfterIt() {
    Harness h = Harness.cacheAside(4);
    h.arrive(1, READ, 5);
    h.now += 400 * MS;
    h.close(h.last(), 0, AttemptOutcome.TIMEOUT, false);
    h.now += 600 * MS;
    h.close(h.last(), h.sends.size() - 1, AttemptOutcome.TIMEOUT, false);
    assertEquals(List.of(1L), h.refused);
    int sent = h.sends.size();
    h.read(2, 5, 0, true);
    assertEquals(List.of(1L, 2L), h.refused);
    assertEquals(sent, h.sends.size());
    h.read(3, 6, 0, true);
    assertEquals(sent + 1, h.sends.size());
  }
}
