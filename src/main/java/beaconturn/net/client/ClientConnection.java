package beaconturn.net.client;

import beaconturn.net.client.ConnectionState.CloseProposal;
import beaconturn.net.io.Sockets;
import beaconturn.protocol.ProtocolException;
import beaconturn.protocol.RespWriter;
import java.io.IOException;
import java.nio.channels.CancelledKeyException;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.SocketChannel;
import java.util.List;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * One client connection: orders the events on the connection and decides how it closes. {@link
 * ConnectionState} holds the phase, {@link CommandReader} reads commands, {@link CommandDispatcher}
 * submits requests to the routing thread, {@link ClientWriter} writes responses.
 *
 * <p>The poller thread reads and processes commands. The sweeper (the thread that calls {@link
 * ClientConnections#sweep} periodically) and the listener propose closes; any thread that has a
 * response writes the response. Each method therefore states which threads may call it.
 */
public class ClientConnection {
  private static final Logger LOG = Logger.getLogger(ClientConnection.class.getName());

  /** Time for a client to close its side after the router has shut down its output. */
  static final long LINGER_NANOS = 250_000_000;

  /** Time for the rest of a partial command to arrive during a graceful shutdown. */
  private static final long PARTIAL_COMMAND_DRAIN_TIMEOUT_NANOS = 1_000_000_000;

  private static final long NEVER = Long.MAX_VALUE;

  // Used by any thread.
  private final SocketChannel channel;
  private final ConnectionContext context;
  private final ConnectionState state = new ConnectionState();
  private final ClientWriter writer;
  private final CommandDispatcher dispatcher;
  private final long number;
  private final long openedAtNanos;

  // Poller thread only, except for those methods of the reader that any thread may call.
  private final CommandReader reader;

  /** Poller thread only. Null until the connection is registered with the selector. */
  private SelectionKey key;

  /** Poller thread only. Whether the poller reads on for this connection. */
  private boolean backlogWatched;

  /** Poller thread only. Bytes that the last call of {@link #readBacklog} has read. */
  private int backlogBytesRead;

  /** Creates a connection for an accepted channel; nothing is read before {@link #start}. */
  public ClientConnection(SocketChannel channel, ConnectionContext context) {
    this.channel = channel;
    this.context = context;
    this.number = context.eventLog().nextConnectionNumber();
    this.openedAtNanos = context.clock().now();
    this.writer =
        new ClientWriter(
            channel, context.clock(), context.pipelineLimit(), this::onResponsesWritten);
    this.dispatcher =
        new CommandDispatcher(
            context, state, writer, new Presence(), () -> context.poller().schedule(this));
    this.reader =
        new CommandReader(
            channel,
            context.clock(),
            state,
            writer,
            context.largeRequestMemory(),
            context.poller().commandRate(),
            () -> context.poller().schedule(this),
            this::handleCommand,
            dispatcher::rejectWaiting);
  }

  /**
   * Registers the connection with the poller, which reads from now on. Called by the accepting
   * thread.
   */
  public void start() {
    context.poller().schedule(this);
  }

  // State that the sweeper and the listener query. For any thread.

  /**
   * When the connection became idle; {@code Long.MAX_VALUE} while a request is in flight, a command
   * is partially read or a close is proposed.
   */
  long idleSinceNanos() {
    return reader.partial().exists() || state.hasProposal() ? NEVER : writer.idleSinceNanos();
  }

  /**
   * When the first byte of the partial command arrived, or {@code Long.MAX_VALUE} if there is none.
   * Later bytes do not reset the time: a client that trickles bytes must not keep its connection
   * open.
   */
  public long partialCommandSinceNanos() {
    return reader.partial().startedAtNanos();
  }

  /**
   * When the connection was accepted, or {@code Long.MAX_VALUE} once the client has sent a byte or
   * the connection is closing.
   */
  long awaitingFirstByteSinceNanos() {
    return hasSent() || isCloseProposedOrClosed() || outputShutdownAtNanos() != NEVER
        ? NEVER
        : openedAtNanos;
  }

  /** Whether the client has sent a byte. */
  boolean hasSent() {
    return reader.hasReceivedCommand() || reader.partial().exists();
  }

  /** When the connection was accepted. */
  long openedAtNanos() {
    return openedAtNanos;
  }

  /**
   * When the last bytes of the partial command arrived, or {@code Long.MAX_VALUE} if there is no
   * partial command that waits for its client alone.
   */
  long stalledSinceNanos() {
    boolean stalled =
        reader.partial().exists()
            && !state.hasProposal()
            && !reader.isThrottled()
            && writer.idleSinceNanos() != NEVER;
    return stalled ? reader.partial().lastBytesAtNanos() : NEVER;
  }

  /**
   * When the client last accepted bytes of the response being written, or {@code Long.MAX_VALUE} if
   * no response is being written.
   */
  long writingSinceNanos() {
    return writer.writingSinceNanos();
  }

  /** Finds out whether a client to whom a response is being written accepts more of it. */
  void checkWriteProgress(long nowNanos) {
    writer.checkProgress(nowNanos);
  }

  /** When the router shut down its output, or {@code Long.MAX_VALUE} if the output is open. */
  long outputShutdownAtNanos() {
    return writer.outputShutdownAtNanos();
  }

  /** Whether a close is proposed, or the connection is closed and its descriptor not yet free. */
  boolean isCloseProposedOrClosed() {
    return state.hasProposal() || state.isClosed();
  }

  // Closing.

  /**
   * Proposes to close the connection. The poller thread drops the proposal if a response is
   * outstanding or a command has arrived meanwhile. A partial command also keeps the connection
   * open, unless that command is the reason. For any thread.
   */
  void proposeClose(CloseReason reason) {
    if (writer.idleSinceNanos() != NEVER
        && !reader.isThrottled()
        && state.propose(reader.partial().proposeClose(reason))) {
      context.poller().schedule(this);
    }
  }

  /**
   * Drains the connection for a graceful shutdown: commands that arrived before the first call are
   * served, later ones are rejected, and the output is shut down once no response is outstanding.
   * Called repeatedly until the connection is closed. For any thread.
   */
  void drain() {
    state.drain(context.clock().now());
    if (writer.idleSinceNanos() != NEVER) {
      context.poller().schedule(this);
    }
  }

  /**
   * Closes the connection as proposed, unless a last read finds a command. Poller thread only.
   *
   * <p>Prevents losing a request with its connection: the kernel may hold a complete command that a
   * busy poller has not read. The last read and the close follow each other on the only thread that
   * reads, so a command that arrives in between stays unread, and the client learns from the reset
   * that its command was not processed.
   */
  private void closeUnlessCommandArrived() throws IOException {
    CloseProposal proposal = state.takeProposal();
    PartialCommand partial = reader.partial();
    if (noCommandArrived()
        && (!partial.exists() || mayCloseOverPartialCommand(partial.isReasonFor(proposal)))
        && writer.shutdownOutputIfIdle()) {
      close(proposal.reason());
    }
  }

  /**
   * Whether the connection may close although a command is partially read. Poller thread only.
   *
   * @param commandIsReason whether that command is the reason for the close
   */
  protected boolean mayCloseOverPartialCommand(boolean commandIsReason) {
    return commandIsReason;
  }

  /**
   * Shuts down the output at a graceful shutdown, unless a last read finds a command. Poller thread
   * only.
   *
   * <p>The connection is only half closed, so that a reset cannot cut off the last response on its
   * way. Nothing is read afterwards: a request that was read could no longer be answered.
   */
  private void shutdownOutputUnlessCommandArrived() throws IOException {
    PartialCommand partial = reader.partial();
    boolean timedOut =
        partial.exists()
            && context.clock().now()
                    - Math.max(partial.startedAtNanos(), state.drainingSinceNanos())
                > PARTIAL_COMMAND_DRAIN_TIMEOUT_NANOS;
    if (noCommandArrived() && (timedOut || !partial.exists()) && writer.shutdownOutputIfIdle()) {
      state.startClosing(CloseReason.GRACEFUL_SHUTDOWN);
    }
  }

  /**
   * Reads once more and returns whether no complete command arrived or waits. Poller thread only.
   */
  private boolean noCommandArrived() throws IOException {
    int processedBefore = reader.commandsProcessed();
    if (!reader.isThrottled()) {
      read(context.poller().lastSelectAtNanos());
    }
    return !state.isClosed()
        && !reader.isThrottled()
        && reader.commandsProcessed() == processedBefore;
  }

  /** Closes at once and cancels all requests in flight. For any thread but the routing thread. */
  void close(CloseReason reason) {
    if (!state.markClosed(reason)) {
      return;
    }
    Sockets.close(channel);
    int unwritten = writer.discardPending();
    List<RespClientRequest> unanswered = dispatcher.unansweredRequests();
    context.eventLog().closed(number, reason, unanswered, unwritten, context.clock().now());
    dispatcher.abandon(unanswered);
    context.poller().releaseClosed(this);
  }

  /** Closes after the client has closed or reset the connection. Poller thread only. */
  private void closeAfterDisconnect() {
    List<RespClientRequest> unanswered = dispatcher.unansweredRequests();
    boolean requestsLeft = !unanswered.isEmpty() || reader.unprocessedBytes() > 0;
    if (!state.isClosed() && (requestsLeft || reader.unreadForNanos() > 0)) {
      context
          .eventLog()
          .clientDisconnected(
              number,
              unanswered,
              reader.unprocessedBytes(),
              reader.unreadForNanos(),
              context.clock().now());
    }
    close(CloseReason.CLIENT_DISCONNECTED);
  }

  /** Reports that the descriptor is free. Poller thread only. */
  void onReleased() {
    reader.releaseMemory();
    context.onReleased().accept(this);
  }

  // Events from the poller. Poller thread only.

  /**
   * Writes and reads as far as the socket is ready.
   *
   * @param arrivedAtNanos the earliest time at which the readable bytes can have arrived
   */
  void onReady(SelectionKey readyKey, long arrivedAtNanos) {
    guarded(
        () -> {
          if (readyKey.isWritable()) {
            writer.write();
          }
          if (readyKey.isReadable() && !readUnlessSuspended(() -> read(arrivedAtNanos))) {
            leaveUnread(arrivedAtNanos);
          }
        });
  }

  /** Performs scheduled work; the first call registers the connection with the selector. */
  void onScheduled(Selector selector) {
    guarded(
        () -> {
          if (key == null) {
            key = channel.register(selector, SelectionKey.OP_READ, this);
          }
          if (writer.holdsResponse()) {
            writer.write();
          }
          readUnlessSuspended(this::processCommandsOrClose);
        });
  }

  private void processCommandsOrClose() throws IOException {
    processCommands();
    if (state.hasProposal()) {
      closeUnlessCommandArrived();
    } else if (state.phase() == ConnectionState.ConnectionPhase.DRAINING) {
      shutdownOutputUnlessCommandArrived();
    }
  }

  /** Reads or processes commands; false, and without effect, while that is suspended. */
  private boolean readUnlessSuspended(SocketStep step) throws IOException {
    ReadSuspension suspension = writer.readSuspension();
    if (!suspension.beginRead()) {
      return false;
    }
    boolean responseWaits = false;
    try {
      step.run();
    } finally {
      responseWaits = suspension.endRead(reader.isThrottled());
    }
    if (responseWaits) {
      writer.write();
    }
    return true;
  }

  private void leaveUnread(long arrivedAtNanos) throws IOException {
    if (!reader.leaveUnread(arrivedAtNanos)) {
      closeAfterDisconnect();
    }
  }

  private interface SocketStep {
    void run() throws IOException;
  }

  /** Runs a step on the poller thread; an exception or error closes this connection only. */
  private void guarded(SocketStep step) {
    try {
      if (!state.isClosed()) {
        step.run();
        updateInterestOps();
      }
    } catch (IOException e) {
      LOG.finer("client connection closed: " + e.getMessage());
      closeAfterDisconnect();
    } catch (CancelledKeyException e) {
      // The channel was closed because the client had reset the connection.
      closeAfterDisconnect();
    } catch (RuntimeException | Error e) {
      handleInternalError(e);
    }
  }

  /** Handles an internal error: pending requests fail, then the connection closes. */
  private void handleInternalError(Throwable failure) {
    LOG.log(
        Level.WARNING,
        "internal error on client connection " + number + "; its requests fail and it closes",
        failure);
    try {
      if (state.isClosing()) {
        close(CloseReason.INTERNAL_ERROR);
        return;
      }
      dispatcher.failAll();
      closeWithError("internal error");
      updateInterestOps();
    } catch (RuntimeException | Error e) {
      LOG.log(
          Level.WARNING,
          "internal error on client connection "
              + number
              + " while handling an error; it closes now",
          e);
      close(CloseReason.INTERNAL_ERROR);
    }
  }

  private void updateInterestOps() {
    CloseReason writeFailure = writer.failureReason();
    if (writeFailure != null) {
      close(writeFailure);
    } else if (!state.isClosed()) {
      boolean leavesInput = writer.readSuspension().isSuspended() && reader.backlog().exists();
      int read = reader.wantsToRead() && !leavesInput ? SelectionKey.OP_READ : 0;
      int write = writer.isBlocked() ? SelectionKey.OP_WRITE : 0;
      if (key.interestOps() != (read | write)) {
        key.interestOps(read | write);
      }
      if (reader.backlog().exists() && !backlogWatched) {
        backlogWatched = true;
        context.poller().watchBacklog(this);
      }
    }
  }

  // Input that is left unread. Poller thread only.

  /** Whether input may lie unread in the socket. */
  boolean hasBacklog() {
    return !state.isClosed() && reader.backlog().exists();
  }

  /** Reports that {@link #readBacklog} will not be called until there is another backlog. */
  void backlogEnded() {
    backlogWatched = false;
  }

  /**
   * Reads on where input was left unread. If requests are in flight, whose client may have left,
   * commands that have waited for some time are rejected for that.
   *
   * @return the number of bytes read, at most a few KB more than {@code maxBytes}
   */
  int readBacklog(int maxBytes) {
    backlogBytesRead = 0;
    guarded(() -> readUnlessSuspended(() -> backlogBytesRead = readBacklogNow(maxBytes)));
    return Math.max(0, backlogBytesRead);
  }

  private int readBacklogNow(int maxBytes) throws IOException {
    if (state.isClosing()) {
      return discardInput(maxBytes);
    }
    if (reader.wantsToRead()) {
      return read(context.poller().lastSelectAtNanos());
    }
    long nowNanos = context.clock().now();
    boolean mayRejectWaiting =
        dispatcher.hasUnanswered()
            && reader.backlog().isOlderThan(InputBacklog.MAX_WAIT_NANOS, nowNanos);
    return mayRejectWaiting ? rejectWaiting(maxBytes) : 0;
  }

  private int rejectWaiting(int maxBytes) throws IOException {
    try {
      int bytes = reader.rejectWaiting(maxBytes, context.poller().lastSelectAtNanos());
      if (bytes < 0) {
        closeAfterDisconnect();
      }
      return bytes;
    } catch (ProtocolException e) {
      closeWithError(e.getMessage());
      return 0;
    }
  }

  /** Whether this client is known to be connected. */
  private final class Presence implements ClientPresence {
    @Override
    public boolean isKnown() {
      long nowNanos = context.clock().now();
      return !reader.backlog().isOlderThan(InputBacklog.PRESENCE_TIMEOUT_NANOS, nowNanos);
    }

    @Override
    public boolean confirm() {
      return context.poller().awaitTurnIfStalled() && isKnown();
    }
  }

  private int read(long arrivedAtNanos) throws IOException {
    if (state.isClosing()) {
      return discardInput(Sockets.MAX_TRANSFER_BYTES);
    }
    int bytes = reader.fill(arrivedAtNanos);
    if (bytes < 0) {
      // Commands that arrived just before the end of the stream are dropped: their client has
      // disconnected.
      closeAfterDisconnect();
    } else if (bytes > 0) {
      processCommands();
    }
    return bytes;
  }

  /**
   * Discards input after a protocol error. Beyond a limit the connection closes, or input is read
   * at the pace of {@link BacklogReader} while responses are outstanding.
   */
  private int discardInput(int maxBytes) throws IOException {
    if (!reader.discardsInput()) {
      return 0;
    }
    int total = 0;
    int bytes = 1;
    while (bytes > 0 && total < maxBytes) {
      bytes = reader.discard();
      total += Math.max(0, bytes);
    }
    if (bytes < 0 && dispatcher.hasUnanswered()) {
      closeAfterDisconnect();
    } else if (bytes < 0 || isDiscardComplete()) {
      close(CloseReason.PROTOCOL_ERROR);
    }
    return total;
  }

  /** Whether enough has been discarded for the error response to arrive. */
  private boolean isDiscardComplete() {
    return reader.isDiscardLimitReached() && writer.outputShutdownAtNanos() != NEVER;
  }

  private void processCommands() {
    try {
      reader.processCommands();
    } catch (ProtocolException e) {
      closeWithError(e.getMessage());
    }
  }

  /**
   * Dispatches a complete command. An invalid command gets an error as its response and affects no
   * other command.
   */
  private void handleCommand(ReceivedCommand command) {
    try {
      dispatcher.dispatch(command);
    } catch (InvalidCommandException e) {
      reader.recordRejection();
      context.eventLog().rejected(number, command.value(), e.getMessage(), context.clock().now());
      respondWithError(e.getMessage());
    }
  }

  /** Responds to the current command with an error. Poller thread only. */
  protected void respondWithError(String reason) {
    writer.enqueue(ResponseSlot.of(RespWriter.error("ERR " + reason)));
  }

  /**
   * Closes the connection after the responses to earlier commands and one final error: the input
   * cannot be split into commands, or an internal error occurred. Poller thread only.
   */
  protected final void closeWithError(String reason) {
    state.startClosing(CloseReason.PROTOCOL_ERROR);
    context
        .eventLog()
        .protocolError(number, reason, writer.pendingResponses(), context.clock().now());
    writer.enqueue(ResponseSlot.of(RespWriter.error("ERR " + reason)));
    writer.shutdownOutputAfterPending();
    reader.stopReading();
  }

  // Events from the writer.

  /**
   * Runs after responses have been written; once none is outstanding, their requests are released.
   * Input that was left unread while a response was streamed is read now. For any thread.
   */
  private void onResponsesWritten(boolean idle) {
    if (idle) {
      dispatcher.removeAnswered();
    }
    // During a graceful shutdown the close follows the last response at once; requests that arrive
    // in between would be rejected.
    if (reader.isThrottled()
        || reader.backlog().exists()
        || writer.isBlocked()
        || writer.failureReason() != null
        || (idle && state.isDraining())) {
      context.poller().schedule(this);
    }
  }

  /**
   * Schedules a connection whose commands are throttled, to check whether they may proceed, or
   * whose response is held back, to check whether it may start. For any thread.
   */
  void rescheduleIfWaiting() {
    if (reader.isThrottled() || writer.holdsResponse()) {
      context.poller().schedule(this);
    }
  }
}
