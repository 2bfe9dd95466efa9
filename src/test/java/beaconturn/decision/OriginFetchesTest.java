package beaconturn.decision;

import static beaconturn.decision.Harness.READ;
import static beaconturn.decision.Harness.SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

/** One fetch a key, and who goes on when it ends. */
class OriginFetchesTest {
  @Test
  void othersWaitForFetchOfKeyAndGoWhereItIsStored() {
    Harness h = Harness.cacheAside(2);
    h.miss(1, 5);
    long home = h.sends.get(0).server();
    Harness.Send fetch = h.last();
    assertEquals(50L, fetch.server());
    h.arrive(2, READ, 5);
    assertEquals(2, h.sends.size());
    h.close(fetch, 1, AttemptOutcome.OK, true);
    assertEquals(new Harness.Send(2, home, SECOND), h.last());
  }

  @Test
  void failedFetchIsHandedToNextInLine() {
    Harness h = Harness.cacheAside(1);
    h.miss(1, 5);
    Harness.Send fetch = h.last();
    h.arrive(2, READ, 5);
    h.close(fetch, 1, AttemptOutcome.ERROR, false);
    assertEquals(List.of(1L), h.refused);
    assertEquals(2L, h.last().request());
    assertEquals(50L, h.last().server());
  }
}
