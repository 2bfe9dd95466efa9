package beaconturn.net.client;

/**
 * The phase of one client connection. A phase can only be followed by a later one, and every change
 * goes through {@link #moveTo}.
 *
 * <p>{@link #drain} is called by the thread that runs a graceful shutdown, {@link #startClosing} by
 * the poller thread alone, {@link #markClosed} by the poller thread and by the sweeper. The routing
 * thread changes no phase.
 *
 * <p>A close may be proposed first: the sweeper or the listener calls {@link #propose}; the poller
 * thread reads from the socket once more, takes the proposal with {@link #takeProposal}, and either
 * closes the connection or drops the proposal.
 *
 * <p>Any thread may call any method; none blocks for longer than a few field writes.
 */
final class ConnectionState {
  private static final long NEVER = Long.MAX_VALUE;

  /** The phases, in the order in which a connection passes through them; any may be skipped. */
  enum ConnectionPhase {
    /** Commands are read and served. */
    OPEN,
    /** Graceful shutdown: commands that arrived before it are served, later ones are rejected. */
    DRAINING,
    /**
     * No further command is accepted. The output is shut down, or will be after the outstanding
     * responses.
     */
    CLOSING,
    /** The socket is closed; its descriptor is free after the poller's next selection. */
    CLOSED;

    /** Whether a connection in this phase may move to the other phase. */
    boolean canMoveTo(ConnectionPhase next) {
      return next.compareTo(this) > 0;
    }
  }

  /**
   * A proposal to close the connection, with the state of the partial command at that time.
   *
   * @param reason why the connection is to close
   * @param startedAtNanos when the partial command started, or {@code Long.MAX_VALUE} for none
   * @param lastBytesAtNanos when bytes last arrived
   */
  record CloseProposal(CloseReason reason, long startedAtNanos, long lastBytesAtNanos) {}

  // Written under this object's lock, read by any thread.
  private volatile ConnectionPhase phase = ConnectionPhase.OPEN;
  private volatile long drainingSinceNanos = NEVER;
  private volatile CloseProposal proposal;
  private volatile CloseReason closeReason;

  ConnectionPhase phase() {
    return phase;
  }

  boolean isClosed() {
    return phase == ConnectionPhase.CLOSED;
  }

  boolean isClosing() {
    return phase == ConnectionPhase.CLOSING;
  }

  /** Whether further commands of the client are processed. */
  boolean acceptsCommands() {
    return phase.compareTo(ConnectionPhase.CLOSING) < 0;
  }

  /** Why the connection is closing or closed, or null while it is open or draining. */
  CloseReason closeReason() {
    return closeReason;
  }

  /** When the graceful shutdown started, or {@code Long.MAX_VALUE} if it has not. */
  long drainingSinceNanos() {
    return drainingSinceNanos;
  }

  /** Whether a graceful shutdown has started, in whatever phase the connection was then. */
  boolean isDraining() {
    return drainingSinceNanos != NEVER;
  }

  /** Starts a graceful shutdown; only the first call counts. */
  synchronized void drain(long nowNanos) {
    if (drainingSinceNanos == NEVER) {
      drainingSinceNanos = nowNanos;
      moveTo(ConnectionPhase.DRAINING, null);
    }
  }

  /**
   * Proposes a close, replacing any earlier proposal; false, and without effect, on a connection
   * that is closing or closed.
   *
   * <p>Prevents a request without a response: a proposal made while the poller shuts down the
   * output would cause another read from the socket, and a command found by that read could no
   * longer be answered. The lock excludes proposals from {@link ConnectionPhase#CLOSING} on.
   */
  synchronized boolean propose(CloseProposal proposed) {
    if (!acceptsCommands()) {
      return false;
    }
    proposal = proposed;
    return true;
  }

  boolean hasProposal() {
    return proposal != null;
  }

  /** Removes and returns the proposal, or returns null if there is none. */
  synchronized CloseProposal takeProposal() {
    CloseProposal taken = proposal;
    proposal = null;
    return taken;
  }

  /** Stops accepting commands; false if the connection is already closing or closed. */
  synchronized boolean startClosing(CloseReason reason) {
    return moveTo(ConnectionPhase.CLOSING, reason);
  }

  /** Marks the connection as closed; true for the one caller that has to close the socket. */
  synchronized boolean markClosed(CloseReason reason) {
    return moveTo(ConnectionPhase.CLOSED, reason);
  }

  private boolean moveTo(ConnectionPhase next, CloseReason reason) {
    if (!phase.canMoveTo(next)) {
      return false;
    }
    if (reason != null) {
      closeReason = reason;
      proposal = null;
    }
    phase = next;
    return true;
  }
}
