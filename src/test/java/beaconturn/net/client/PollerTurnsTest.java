package beaconturn.net.client;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import beaconturn.net.io.Threads;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(30)
class PollerTurnsTest {
  private final AtomicInteger wakeups = new AtomicInteger();

  @Test
  void doesNotWaitWhileThePollerRuns() {
    PollerTurns turns = new PollerTurns(wakeups::incrementAndGet, 0);
    assertTrue(turns.awaitTurnIfStalled(PollerTurns.STALL_NANOS));
    turns.turnEnded(PollerTurns.STALL_NANOS);
    assertTrue(turns.awaitTurnIfStalled(2 * PollerTurns.STALL_NANOS));
    assertEquals(0, wakeups.get());
  }

  @Test
  void waitsForTwoTurnsAfterTheProcessWasStopped() {
    PollerTurns[] turns = new PollerTurns[1];
    turns[0] =
        new PollerTurns(
            () -> {
              wakeups.incrementAndGet();
              Threads.start("test-turn", () -> turns[0].turnEnded(PollerTurns.STALL_NANOS));
            },
            0);
    assertTrue(turns[0].awaitTurnIfStalled(PollerTurns.STALL_NANOS + 1));
    assertEquals(2, wakeups.get());
  }

  @Test
  void givesUpIfThePollerStandsStill() {
    PollerTurns turns = new PollerTurns(wakeups::incrementAndGet, 0);
    assertFalse(turns.awaitTurnIfStalled(PollerTurns.STALL_NANOS + 1));
  }
}
