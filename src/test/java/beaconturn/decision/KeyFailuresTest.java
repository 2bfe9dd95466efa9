package beaconturn.decision;

import static beaconturn.decision.Harness.MS;
import static beaconturn.decision.Harness.READ;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Keys that fail at whatever cache takes them. */
class KeyFailuresTest {
  /** Bad requests: their key fails wherever it goes, and the caches are well. */
  @Test
  void errorsThatFollowKeyDoNotCountAgainstCachesAndAreNotRetried() {
    Harness h = new Harness(Harness.settings(false));
    h.caches(6);
    h.reads(0, 60, 5 * MS, (send, attempt) -> h.close(send, attempt, AttemptOutcome.OK, true));
    int before = h.sends.size();
    for (int i = 0; i < 200; i++) {
      h.now += 5 * MS;
      int first = h.sends.size();
      h.arrive(1000 + i, READ, 7);
      for (int k = first; k < h.sends.size(); k++) {
        h.close(h.sends.get(k), k - first, AttemptOutcome.ERROR, false, MS);
      }
      h.serve(5000 + i, 20_000 + i);
    }
    long bad = h.sends.stream().skip(before).filter(s -> s.request() < 5000).count();
    assertTrue(bad > 50 && bad < 150, "some trials, no further attempts: " + bad);
    assertTrue(h.router.view().servers().values().stream().allMatch(s -> s == ServerStatus.ACTIVE));
    h.arrive(9000, READ, 30_000);
    h.close(h.last(), 0, AttemptOutcome.ERROR, false, MS);
    assertEquals(9000, h.last().request(), "another key is tried again");
    assertTrue(h.refused.stream().filter(r -> r == 9000).findAny().isEmpty());
  }

  /** Each cache that takes the key is reset: it takes two with it, and hardly any more. */
  @Test
  void keyThatBringsDownWhateverTakesItIsNotSentOn() {
    Harness h = new Harness(Harness.settings(false));
    h.caches(8);
    h.reads(0, 60, 5 * MS, (send, attempt) -> h.close(send, attempt, AttemptOutcome.OK, true));
    int before = h.sends.size();
    for (int i = 0; i < 100; i++) {
      h.now += 5 * MS;
      int first = h.sends.size();
      h.arrive(1000 + i, READ, 7);
      for (int k = first; k < h.sends.size(); k++) {
        h.close(h.sends.get(k), k - first, AttemptOutcome.RESET, false, MS);
      }
    }
    assertTrue(h.sends.size() - before < 50, "sent " + (h.sends.size() - before) + " times");
    assertEquals(100, h.refused.size());
  }
}
