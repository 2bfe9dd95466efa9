package beaconturn.rehearsal;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

class StolenTimeTest {
  /**
   * Of one processor, also where the others had all of theirs; what had gone before does not count.
   */
  @Test
  void whatTheProcessorLostThatLostMostIsTold() {
    StolenTime time = new StolenTime();
    assertEquals(
        0,
        time.since(
            List.of(
                "cpu  9 9 9 9 9 9 9 50 0 0",
                "cpu0 1 1 1 1 1 1 1 20 0 0",
                "cpu1 1 1 1 1 1 1 1 30 0 0",
                "intr 1 2 3")));
    assertEquals(
        40_000_000,
        time.since(
            List.of(
                "cpu  9 9 9 9 9 9 9 55 0 0",
                "cpu0 1 1 1 1 1 1 1 24 0 0",
                "cpu1 1 1 1 1 1 1 1 31 0 0",
                "ctxt 5")));
    assertEquals(0, time.since(List.of("cpu0 1 1 1 1", "cpu1 2 2 2 2 2 2 2 31 0 0")));
  }
}
