package beaconturn.decision;

import static beaconturn.decision.Harness.MS;
import static beaconturn.decision.Harness.READ;
import static beaconturn.decision.Harness.SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

/** When a cache is ejected. */
class OutlierDetectorTest {
  @SuppressWarnings("ReferenceEquality") // Two sends may be alike.
  @Test
  void quickErrorsDoNotKeepTheirKeys() {
    Harness h = new Harness(Harness.settings(false));
    h.caches(6);
    h.arrive(1, READ, 5);
    long sick = h.last().server();
    int toSick = 0;
    for (int i = 0; i < 40; i++) {
      h.now += 10 * MS;
      h.arrive(100 + i, READ, 5);
      Harness.Send first = h.last();
      if (first.server() == sick) {
        toSick++;
        h.close(first, 0, AttemptOutcome.ERROR, false);
      }
      int attempt = h.last() == first ? 0 : 1;
      h.close(h.last(), attempt, AttemptOutcome.OK, true);
    }
    assertTrue(toSick >= 3 && toSick < 20, "sends to the failing cache: " + toSick);
  }

  /** Nothing was heard of it for long, while the others answered. */
  @Test
  void oneBadAnswerIsEnoughWhereAnswersAreRare() {
    Harness h = new Harness(Harness.settings(false));
    h.caches(6);
    Harness.homes(h, 60);
    long home = h.home(5);
    long other =
        LongStream.range(100, 200).filter(key -> h.home(key) != home).findFirst().orElseThrow();
    for (int i = 0; i < 300; i++) {
      h.now += SECOND / 10;
      h.serve(1000 + i, other);
    }
    h.arrive(500, READ, 5);
    assertEquals(home, h.last().server());
    h.close(h.last(), 0, AttemptOutcome.ERROR, false);
    h.close(h.last(), 1, AttemptOutcome.OK, true);
    assertEquals(ServerStatus.EJECTED, h.router.view().servers().get(home));
    h.arrive(501, READ, 5);
    assertNotEquals(home, h.last().server());
  }

  /**
   * No descriptor, no port: the failure of this machine is held against no cache, and is tried
   * elsewhere.
   */
  @Test
  void whatThisMachineFailsToSendEjectsNoCache() {
    Harness h = new Harness(Harness.settings(false));
    h.caches(6);
    h.served(1, 40, 20 * MS, 1);
    h.reads(
        100,
        200,
        20 * MS,
        (send, attempt) -> {
          boolean unsent = send.server() == 1;
          h.close(send, attempt, unsent ? AttemptOutcome.NOT_SENT : AttemptOutcome.OK, !unsent);
        });
    assertTrue(
        h.router.view().servers().values().stream().allMatch(s -> s == ServerStatus.ACTIVE),
        h.router.view()::toString);
    int before = h.sends.size();
    h.reads(300, 340, 20 * MS, (send, attempt) -> h.close(send, attempt, AttemptOutcome.OK, true));
    assertTrue(h.sends.size() - before >= 40, "traffic returns at once");
  }
}
