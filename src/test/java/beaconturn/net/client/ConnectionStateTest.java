package beaconturn.net.client;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import beaconturn.net.client.ConnectionState.CloseProposal;
import beaconturn.net.client.ConnectionState.ConnectionPhase;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Phases of a connection and their transitions. */
@Timeout(60)
class ConnectionStateTest {
  private static final CloseProposal IDLE_PROPOSAL =
      new CloseProposal(CloseReason.IDLE_TIMEOUT, Long.MAX_VALUE, 0);
  private final ConnectionState state = new ConnectionState();

  @Test
  void movesOnlyToLaterPhases() {
    List<ConnectionPhase> phases =
        List.of(
            ConnectionPhase.OPEN,
            ConnectionPhase.DRAINING,
            ConnectionPhase.CLOSING,
            ConnectionPhase.CLOSED);
    assertEquals(phases, List.of(ConnectionPhase.values()));
    for (ConnectionPhase from : phases) {
      for (ConnectionPhase to : phases) {
        assertEquals(
            phases.indexOf(to) > phases.indexOf(from), from.canMoveTo(to), from + " " + to);
      }
    }
  }

  @Test
  void newConnectionAcceptsCommands() {
    assertEquals(ConnectionPhase.OPEN, state.phase());
    assertTrue(state.acceptsCommands());
    assertFalse(state.isDraining());
    assertFalse(state.hasProposal());
    assertNull(state.closeReason());
  }

  @Test
  void drainingConnectionAcceptsCommandsAndKeepsFirstTime() {
    state.drain(5);
    state.drain(9);
    assertEquals(ConnectionPhase.DRAINING, state.phase());
    assertEquals(5, state.drainingSinceNanos());
    assertTrue(state.acceptsCommands());
  }

  @Test
  void closingConnectionAcceptsNoCommandAndKeepsReason() {
    assertTrue(state.startClosing(CloseReason.PROTOCOL_ERROR));
    assertFalse(state.startClosing(CloseReason.GRACEFUL_SHUTDOWN));
    assertTrue(state.isClosing());
    assertFalse(state.acceptsCommands());
    assertEquals(CloseReason.PROTOCOL_ERROR, state.closeReason());
  }

  /** While the last response is being sent, no further command may count as in time. */
  @Test
  void drainIsRecordedOnClosingConnectionWithoutReopeningIt() {
    state.startClosing(CloseReason.PROTOCOL_ERROR);
    state.drain(5);
    assertTrue(state.isClosing());
    assertTrue(state.isDraining());
    assertEquals(5, state.drainingSinceNanos());
  }

  @Test
  void closesOnceFromAnyPhase() {
    state.drain(5);
    state.startClosing(CloseReason.GRACEFUL_SHUTDOWN);
    assertTrue(state.markClosed(CloseReason.LINGER_TIMEOUT));
    assertFalse(state.markClosed(CloseReason.CLIENT_DISCONNECTED));
    assertFalse(state.startClosing(CloseReason.PROTOCOL_ERROR));
    assertTrue(state.isClosed());
    assertEquals(CloseReason.LINGER_TIMEOUT, state.closeReason());
  }

  @Test
  void proposalIsTakenOnceAndKeepsPhase() {
    assertTrue(state.propose(IDLE_PROPOSAL));
    assertTrue(state.hasProposal());
    assertEquals(ConnectionPhase.OPEN, state.phase());
    assertEquals(IDLE_PROPOSAL, state.takeProposal());
    assertNull(state.takeProposal());
    assertFalse(state.hasProposal());
  }

  @Test
  void proposalSurvivesDrain() {
    state.propose(IDLE_PROPOSAL);
    state.drain(5);
    assertTrue(state.hasProposal());
  }

  /**
   * Otherwise the poller would read from a connection whose output is shut down, and could not
   * respond to what it read.
   */
  @Test
  void dropsAndRejectsProposalsOnceClosing() {
    state.propose(IDLE_PROPOSAL);
    state.startClosing(CloseReason.GRACEFUL_SHUTDOWN);
    assertFalse(state.hasProposal());
    assertFalse(state.propose(IDLE_PROPOSAL));
    assertNull(state.takeProposal());
    state.markClosed(CloseReason.LINGER_TIMEOUT);
    assertFalse(state.propose(IDLE_PROPOSAL));
  }

  /** The thread that closes a connection cancels its requests, which must happen once. */
  @Test
  void exactlyOneThreadCloses() throws Exception {
    CountDownLatch start = new CountDownLatch(1);
    AtomicInteger closedBy = new AtomicInteger();
    Runnable closeTask =
        () -> {
          await(start);
          if (state.markClosed(CloseReason.CLIENT_DISCONNECTED)) {
            closedBy.incrementAndGet();
          }
        };
    List<Thread> threads =
        List.of(new Thread(closeTask), new Thread(closeTask), new Thread(closeTask));
    threads.forEach(Thread::start);
    start.countDown();
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
