package beaconturn.net.client;

/**
 * Where one client's connection stands on its way from open to closed. A phase is only ever
 * followed by a later one, and every change of phase goes through {@link #moveTo}.
 *
 * <p>Who sets which phase: {@link #drain} is called by the thread that runs a planned stop, {@link
 * #end} by the poller's thread alone, {@link #close} by the poller's thread and by a thread that
 * sweeps connections. The routing thread sets none.
 *
 * <p>Before the end there may be a proposal to end: a thread that sweeps connections or accepts new
 * ones makes it with {@link #propose}, and the poller's thread, after one more look at the socket,
 * takes it with {@link #takeProposal} and either closes the connection or drops the proposal.
 *
 * <p>Any thread may call any method; none waits for longer than it takes to write a few fields.
 */
final class ConnectionState {
  private static final long NEVER = Long.MAX_VALUE;

  /** The phases, in the order in which a connection goes through them; any may be left out. */
  enum ConnectionPhase {
    /** Commands are read and served. */
    OPEN,
    /** At a planned stop: what came before it is served, what comes later is rejected. */
    DRAINING,
    /**
     * No further command is taken. The sending has ended or ends after the answers that are owed.
     */
    ENDING,
    /** The socket is closed; the descriptor is free once the poller's selector has gone round. */
    CLOSED;

    /** Whether a connection in this phase may go on to the other one. */
    boolean mayBecome(ConnectionPhase next) {
      return next.compareTo(this) > 0;
    }
  }

  /**
   * A wish to end the connection, with what was known of the command that was arriving then.
   *
   * @param reason why the connection is to end
   * @param beganAtNanos when the partial command had begun, or {@code Long.MAX_VALUE} for none
   * @param lastBytesAtNanos when bytes had come last
   */
  record EndProposal(EndReason reason, long beganAtNanos, long lastBytesAtNanos) {}

  // Written under this object's lock, read by any thread.
  private volatile ConnectionPhase phase = ConnectionPhase.OPEN;
  private volatile long drainingSinceNanos = NEVER;
  private volatile EndProposal proposal;
  private volatile EndReason endReason;

  ConnectionPhase phase() {
    return phase;
  }

  boolean isClosed() {
    return phase == ConnectionPhase.CLOSED;
  }

  boolean isEnding() {
    return phase == ConnectionPhase.ENDING;
  }

  /** Whether further commands of the client are handled. */
  boolean takesCommands() {
    return phase.compareTo(ConnectionPhase.ENDING) < 0;
  }

  /** Why the connection is ending or closed, or null while it is open or draining. */
  EndReason endReason() {
    return endReason;
  }

  /** Since when the router has been stopping, or {@code Long.MAX_VALUE} if it is not. */
  long drainingSinceNanos() {
    return drainingSinceNanos;
  }

  /** Whether the connection has been told of a planned stop, in whatever phase it was then. */
  boolean isDraining() {
    return drainingSinceNanos != NEVER;
  }

  /** Notes a planned stop; only the first call counts. */
  synchronized void drain(long nowNanos) {
    if (drainingSinceNanos == NEVER) {
      drainingSinceNanos = nowNanos;
      moveTo(ConnectionPhase.DRAINING, null);
    }
  }

  /**
   * Proposes an end, in place of one that was proposed before; false, and without effect, on a
   * connection that is ending or closed.
   *
   * <p>Guard against a request without an answer: an end that is proposed while the poller ends the
   * sending would have it look at the socket once more, and what it read then could not be answered
   * any more. So nothing is proposed from {@link ConnectionPhase#ENDING} on, under one lock with
   * that change.
   */
  synchronized boolean propose(EndProposal proposed) {
    if (!takesCommands()) {
      return false;
    }
    proposal = proposed;
    return true;
  }

  /** Whether an end has been proposed and neither taken up nor dropped yet. */
  boolean hasProposal() {
    return proposal != null;
  }

  /** Takes the proposal, which is gone then; null if there is none. */
  synchronized EndProposal takeProposal() {
    EndProposal taken = proposal;
    proposal = null;
    return taken;
  }

  /** From here on no command is taken; false if that, or the close, has been so before. */
  synchronized boolean end(EndReason reason) {
    return moveTo(ConnectionPhase.ENDING, reason);
  }

  /** Marks the connection as closed; true for the one caller that has to close it. */
  synchronized boolean close(EndReason reason) {
    return moveTo(ConnectionPhase.CLOSED, reason);
  }

  private boolean moveTo(ConnectionPhase next, EndReason reason) {
    if (!phase.mayBecome(next)) {
      return false;
    }
    if (reason != null) {
      endReason = reason;
      proposal = null;
    }
    phase = next;
    return true;
  }
}
