package beaconturn.decision;

import static beaconturn.decision.Harness.MS;
import static beaconturn.decision.Harness.READ;
import static beaconturn.decision.Harness.SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** When an attempt is late, and what follows. */
class HedgingPolicyTest {
  @Test
  void attemptEndsAtObjectiveWhereLateAnswerIsWorthNothingUnlessCachesFetch() {
    for (boolean cacheAside : List.of(true, false)) {
      Harness h = new Harness(Harness.settings(cacheAside));
      h.list(EndpointListKind.CACHED, Harness.cache(1), Harness.cache(2), Harness.origin(50));
      h.arrive(1, READ, 5, 2 * SECOND);
      assertEquals(cacheAside ? SECOND : 2 * SECOND, h.last().allowFor());
      h.close(h.last(), 0, AttemptOutcome.OK, true);
      h.arrive(2, READ, 5, 2 * SECOND);
      assertEquals(cacheAside ? SECOND : 2 * SECOND, h.last().allowFor());
      h.arrive(3, Harness.UNSAFE, 6, 2 * SECOND);
      assertEquals(2 * SECOND, h.last().allowFor());
    }
  }

  /** A cache that fetches goes on with what is called off: there the attempt stays out. */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void lateAttemptIsMovedWithoutHedgingUnlessCachesFetch(boolean cacheAside) {
    Harness h = Harness.withoutHedging(cacheAside, 1, 6);
    h.reads(0, 50, 0, (s, n) -> h.hit(50 * MS));
    h.arrive(100, READ, 5);
    Harness.Send first = h.last();
    for (int i = 0; i < 5; i++) {
      h.pass(99 * MS);
      h.serve(200 + i, 2000 + i);
    }
    assertEquals(List.of(), h.actions.stream().filter(a -> a.startsWith("cancel")).toList());
    h.pass((cacheAside ? 10 : 505) * MS);
    List<String> calledOff = h.actions.stream().filter(a -> a.startsWith("cancel")).toList();
    assertEquals(cacheAside ? List.of("cancel 100 0") : List.of(), calledOff);
    if (cacheAside) {
      int sent = h.sends.size();
      h.close(first, 0, AttemptOutcome.CANCELLED, false);
      assertEquals(sent + 1, h.sends.size());
      assertNotEquals(first.server(), h.last().server());
    }
  }

  @Test
  void heavyRequestIsLateLaterThanLightOne() {
    Harness h = new Harness(Harness.settings(false));
    h.caches(6);
    for (int i = 0; i < 100; i++) {
      h.sized(i, 10 * MS);
      h.now += 20 * MS;
    }
    long usual = h.sized(200, 10 * MS);
    assertTrue(h.sized(201, 80 * MS) > usual + 100 * MS, "usual: " + usual);
    assertEquals(usual, h.sized(202, MS), MS);
  }
}
