package beaconturn.agreement;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

class LastingEjectionsTest {
  private static final long SECOND_NANOS = 1_000_000_000;
  private final LastingEjections ejections = new LastingEjections();

  /** A server that is ejected again after a successful probe starts a new ejection. */
  @Test
  void ejectionIsLastingAfterOneUninterruptedSecond() {
    assertFalse(ejections.isLasting("c1", 0));
    assertFalse(ejections.isLasting("c1", SECOND_NANOS - 1));
    ejections.retainOnly(List.of());
    assertFalse(ejections.isLasting("c1", SECOND_NANOS));
    ejections.retainOnly(List.of("c1", "c2"));
    assertFalse(ejections.isLasting("c2", 2 * SECOND_NANOS));
    assertTrue(ejections.isLasting("c1", 2 * SECOND_NANOS));
  }
}
