package beaconturn.agreement;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

class LastingEjectionsTest {
  private static final long SECOND = 1_000_000_000;
  private final LastingEjections ejections = new LastingEjections();

  /** Ejected, back after a trial, and ejected again: each counts from its own begin. */
  @Test
  void oneLastsThatNoTrialHasEndedForASecond() {
    assertFalse(ejections.isLasting("c1", 0));
    assertFalse(ejections.isLasting("c1", SECOND - 1));
    ejections.retainOnly(List.of());
    assertFalse(ejections.isLasting("c1", SECOND));
    ejections.retainOnly(List.of("c1", "c2"));
    assertFalse(ejections.isLasting("c2", 2 * SECOND));
    assertTrue(ejections.isLasting("c1", 2 * SECOND));
  }
}
