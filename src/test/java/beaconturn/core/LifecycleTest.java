package beaconturn.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class LifecycleTest {
  private final Lifecycle lifecycle = new Lifecycle();

  @Test
  void phaseNeverMovesBackwards() {
    assertTrue(lifecycle.advance(Lifecycle.Phase.DRAINING));
    assertFalse(lifecycle.advance(Lifecycle.Phase.SERVING));
    assertFalse(lifecycle.advance(Lifecycle.Phase.DRAINING));
    assertEquals(Lifecycle.Phase.DRAINING, lifecycle.phase());
  }

  @Test
  void isReadyWhileServingAndDraining() {
    assertFalse(lifecycle.ready());
    lifecycle.advance(Lifecycle.Phase.SERVING);
    assertTrue(lifecycle.ready());
    lifecycle.advance(Lifecycle.Phase.DRAINING);
    assertTrue(lifecycle.ready());
    lifecycle.advance(Lifecycle.Phase.STOPPED);
    assertFalse(lifecycle.ready());
  }
}
