package beaconturn.decision;

import static beaconturn.decision.Harness.MS;
import static beaconturn.decision.Harness.READ;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * What does not hold at every deployment: known speeds, told hits, hedges, a pool of routers before
 * all.
 */
class OtherShapesTest {
  /**
   * A router where no request may have two attempts out, before caches that do not tell of fetches.
   */
  private static Harness alone(boolean aside, int routers, int caches) {
    Harness h = new Harness(Harness.alone(Harness.settings(aside, routers, List.of())));
    h.caches(caches);
    return h;
  }

  @Test
  void kindsThatTakeLongGetFewerKeysThoughRatingsAreAlike() {
    Harness h = new Harness(Harness.settings(true));
    h.list(
        EndpointListKind.CACHED,
        LongStream.rangeClosed(1, 12)
            .mapToObj(id -> new Endpoint(id, 0, (int) (id + 1) % 2, 0, EndpointHealth.READY, 1, 0))
            .toArray(Endpoint[]::new));
    h.reads(0, 2000, 200 * MS, (s, n) -> h.hit((s.server() % 2 == 0 ? 90 : 30) * MS));
    long slow = h.sends.stream().filter(s -> s.request() >= 1000 && s.server() % 2 == 0).count();
    assertTrue(slow > 150 && slow < 350, "of 1000 to the slow half: " + slow);
  }

  @Test
  void aFurtherTryKeepsTheAimOfTheFirstAndIsGivenUpAtOnceWhenThatIsOver() {
    Harness h = Harness.aside(4);
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

  /** A cache that fetches goes on with what is called off: there the attempt stays out. */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void aLateAttemptIsCalledOffAndSentOnWhereTwoMayNotBeOutAndCachesDoNotFetch(boolean aside) {
    Harness h = alone(aside, 1, 6);
    h.reads(0, 50, 0, (s, n) -> h.hit(50 * MS));
    h.arrive(100, READ, 5);
    Harness.Send first = h.last();
    for (int i = 0; i < 5; i++) {
      h.pass(99 * MS);
      h.serve(200 + i, 2000 + i);
    }
    assertEquals(List.of(), h.actions.stream().filter(a -> a.startsWith("cancel")).toList());
    h.pass((aside ? 10 : 505) * MS);
    List<String> calledOff = h.actions.stream().filter(a -> a.startsWith("cancel")).toList();
    assertEquals(aside ? List.of("cancel 100 0") : List.of(), calledOff);
    if (aside) {
      int sent = h.sends.size();
      h.close(first, 0, AttemptOutcome.CANCELLED, false);
      assertEquals(sent + 1, h.sends.size());
      assertNotEquals(first.server(), h.last().server());
    }
  }

  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void whereFetchesAreNotToldReadsAreNotHeldToTheLimitOfFetches(boolean told) {
    Harness h = told ? new Harness(Harness.settings(false, 100, List.of())) : alone(false, 100, 0);
    h.caches(6);
    for (int i = 0; i < 60; i++) {
      h.now += 100 * MS;
      h.arrive(i, Harness.UNSAFE, i);
      h.close(h.last(), 0, AttemptOutcome.ERROR, false);
    }
    int before = h.sends.size();
    h.reads(100, 110, 0, (s, n) -> {});
    assertEquals(!told, h.sends.size() - before == 10, "sent: " + (h.sends.size() - before));
  }

  @Test
  void whileDialsFailOnlyCachesWithAnOpenConnectionAreAskedButForAFew() {
    Harness h = alone(false, 1, 10);
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

  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void aReportPassesItsCacheOnlyWhileTheOriginHasRoomForTheFetchOfASpill(boolean busy) {
    Harness h = new Harness(Harness.reporting(Harness.settings(true), "busy_reqs"));
    h.caches(6);
    h.list(EndpointListKind.DELTA, Harness.origin(50));
    h.arrive(1, READ, 5);
    long home = h.last().server();
    h.hit(50 * MS, 60);
    h.reads(500, 560, 0, (s, n) -> h.hit(50 * MS, s.server() == home ? 60 : 2));
    for (int i = 0; i < 20; i++) {
      h.now += 10 * MS;
      h.miss(100 + i, 1000 + i);
      h.close(h.last(), 1, AttemptOutcome.OK, true, (busy ? 900 : 50) * MS);
    }
    h.arrive(2, READ, 5);
    assertEquals(busy, h.last().server() == home);
  }

  @Test
  void aHeavyRequestIsLateLaterThanALightOne() {
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

  @Test
  void timeOutsDoNotShutTheGateWhereNoSecondCopyMayRaceThem() {
    Harness h = alone(false, 100, 6);
    h.reads(
        0,
        300,
        100 * MS,
        (s, n) -> {
          boolean lost = s.request() % 3 == 0;
          h.close(
              s,
              n,
              lost ? AttemptOutcome.TIMEOUT : AttemptOutcome.OK,
              !lost,
              (lost ? 2000 : 50) * MS);
        });
    // A lost request is itself refused, unless a further attempt is earned.
    assertTrue(h.refused.size() <= 100, "refused of 300: " + h.refused.size());
  }
}
