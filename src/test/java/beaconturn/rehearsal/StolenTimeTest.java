package beaconturn.rehearsal;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

class StolenTimeTest {
  /** Time stolen before the first call, and from other processors, does not count. */
  @Test
  void returnsStolenTimeOfProcessorThatLostMost() {
    StolenTime stolenTime = new StolenTime();
    assertEquals(
        0,
        stolenTime.nanosSinceLastCall(
            List.of(
                "cpu  9 9 9 9 9 9 9 50 0 0",
                "cpu0 1 1 1 1 1 1 1 20 0 0",
                "cpu1 1 1 1 1 1 1 1 30 0 0",
                "intr 1 2 3")));
    assertEquals(
        40_000_000,
        stolenTime.nanosSinceLastCall(
            List.of(
                "cpu  9 9 9 9 9 9 9 55 0 0",
                "cpu0 1 1 1 1 1 1 1 24 0 0",
                "cpu1 1 1 1 1 1 1 1 31 0 0",
                "ctxt 5")));
    assertEquals(
        0, stolenTime.nanosSinceLastCall(List.of("cpu0 1 1 1 1", "cpu1 2 2 2 2 2 2 2 31 0 0")));
  }
}
