package beaconturn.net.client;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import beaconturn.net.client.ConnectionState.ConnectionPhase;
import beaconturn.net.client.ConnectionState.EndProposal;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** The phases of a connection, and which may follow which. */
@Timeout(60)
class ConnectionStateTest {
  private static final EndProposal IDLE = new EndProposal(EndReason.IDLE, Long.MAX_VALUE, 0);
  private final ConnectionState state = new ConnectionState();

  @Test
  void aPhaseIsFollowedByLaterOnesOnly() {
    List<ConnectionPhase> phases =
        List.of(
            ConnectionPhase.OPEN,
            ConnectionPhase.DRAINING,
            ConnectionPhase.ENDING,
            ConnectionPhase.CLOSED);
    assertEquals(phases, List.of(ConnectionPhase.values()));
    for (ConnectionPhase from : phases) {
      for (ConnectionPhase to : phases) {
        assertEquals(
            phases.indexOf(to) > phases.indexOf(from), from.mayBecome(to), from + " " + to);
      }
    }
  }

  @Test
  void aNewConnectionTakesCommands() {
    assertEquals(ConnectionPhase.OPEN, state.phase());
    assertTrue(state.takesCommands());
    assertFalse(state.isDraining());
    assertFalse(state.hasProposal());
    assertNull(state.endReason());
  }

  @Test
  void aDrainingConnectionStillTakesCommandsAndKeepsItsFirstTime() {
    state.drain(5);
    state.drain(9);
    assertEquals(ConnectionPhase.DRAINING, state.phase());
    assertEquals(5, state.drainingSinceNanos());
    assertTrue(state.takesCommands());
  }

  @Test
  void anEndingConnectionTakesNoCommandAndKeepsItsReason() {
    assertTrue(state.end(EndReason.MALFORMED));
    assertFalse(state.end(EndReason.PLANNED_STOP));
    assertTrue(state.isEnding());
    assertFalse(state.takesCommands());
    assertEquals(EndReason.MALFORMED, state.endReason());
  }

  /** Its last answer is on its way: nothing that is read may count as in time any more. */
  @Test
  void aPlannedStopIsNotedOnAnEndingConnectionTooButOpensItNoMore() {
    state.end(EndReason.MALFORMED);
    state.drain(5);
    assertTrue(state.isEnding());
    assertTrue(state.isDraining());
    assertEquals(5, state.drainingSinceNanos());
  }

  @Test
  void aConnectionIsClosedFromEveryPhaseAndOnce() {
    state.drain(5);
    state.end(EndReason.PLANNED_STOP);
    assertTrue(state.close(EndReason.LINGERED));
    assertFalse(state.close(EndReason.CLIENT_LEFT));
    assertFalse(state.end(EndReason.MALFORMED));
    assertTrue(state.isClosed());
    assertEquals(EndReason.LINGERED, state.endReason());
  }

  @Test
  void aProposalIsTakenOnceAndChangesNoPhase() {
    assertTrue(state.propose(IDLE));
    assertTrue(state.hasProposal());
    assertEquals(ConnectionPhase.OPEN, state.phase());
    assertEquals(IDLE, state.takeProposal());
    assertNull(state.takeProposal());
    assertFalse(state.hasProposal());
  }

  @Test
  void aProposalOutlivesTheBeginOfAPlannedStop() {
    state.propose(IDLE);
    state.drain(5);
    assertTrue(state.hasProposal());
  }

  /**
   * A connection whose sending has ended must not be looked at once more for an end that was chosen
   * at the same moment: what that look read could not be answered any more.
   */
  @Test
  void nothingIsProposedOnAConnectionThatEndsAndWhatWasIsDropped() {
    state.propose(IDLE);
    state.end(EndReason.PLANNED_STOP);
    assertFalse(state.hasProposal());
    assertFalse(state.propose(IDLE));
    assertNull(state.takeProposal());
    state.close(EndReason.LINGERED);
    assertFalse(state.propose(IDLE));
  }

  /** Whoever closes answers for what is open: two that did would call it off twice. */
  @Test
  void ofManyThreadsThatCloseOneDoes() throws Exception {
    CountDownLatch begin = new CountDownLatch(1);
    AtomicInteger closedBy = new AtomicInteger();
    Runnable closes =
        () -> {
          await(begin);
          if (state.close(EndReason.CLIENT_LEFT)) {
            closedBy.incrementAndGet();
          }
        };
    List<Thread> threads = List.of(new Thread(closes), new Thread(closes), new Thread(closes));
    threads.forEach(Thread::start);
    begin.countDown();
    for (Thread thread : threads) {
      thread.join();
    }
    assertEquals(1, closedBy.get());
  }

  private static void await(CountDownLatch latch) {
    try {
      latch.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
