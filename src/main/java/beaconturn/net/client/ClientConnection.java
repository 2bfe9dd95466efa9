package beaconturn.net.client;

import beaconturn.net.client.ConnectionState.EndProposal;
import beaconturn.net.io.Sockets;
import beaconturn.protocol.ProtocolException;
import beaconturn.protocol.RespValue;
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
 * One client's connection: what happens on it in which order, and how it ends. {@link
 * ConnectionState} says how far it is, {@link CommandReader} reads its commands, {@link
 * CommandDispatcher} hands the requests over, {@link ClientWriter} writes the answers.
 *
 * <p>The poller's thread reads and takes commands. The sweeper, which is the thread that calls
 * {@link ClientConnections#sweep} now and then, and the listener propose ends, and threads that
 * have an answer write it; so each method says who may call it.
 */
public class ClientConnection {
  private static final Logger LOG = Logger.getLogger(ClientConnection.class.getName());

  /** How long a client may take to close its end of a connection that the router has ended. */
  static final long LINGER_NANOS = 250_000_000;

  /** How long a planned stop waits for the rest of a command that has begun. */
  private static final long PARTIAL_COMMAND_AT_STOP_NANOS = 1_000_000_000;

  private static final long NEVER = Long.MAX_VALUE;

  // For any thread.
  private final SocketChannel channel;
  private final ConnectionContext context;
  private final ConnectionState state = new ConnectionState();
  private final ClientWriter writer;
  private final LargeRequestPermits largePermits;
  private final CommandDispatcher dispatcher;
  private final long number;
  private final long openedAtNanos;

  // Poller thread only, but for what the reader's methods allow to others.
  private final CommandReader reader;

  /** Poller thread only. Null until the poller has turned to the connection first. */
  private SelectionKey key;

  /** A connection that has been accepted; nothing is read before {@link #start}. */
  public ClientConnection(SocketChannel channel, ConnectionContext context) {
    this.channel = channel;
    this.context = context;
    this.number = context.eventLog().connectionOpened();
    this.openedAtNanos = context.clock().now();
    this.writer = new ClientWriter(channel, context.clock(), this::answersWritten);
    this.largePermits = new LargeRequestPermits(context.largeRequests());
    this.dispatcher = new CommandDispatcher(context, state, writer);
    this.reader =
        new CommandReader(
            channel, context.clock(), state, writer, largePermits, this::handleCommand);
  }

  /** Has the poller read from the connection from now on. For the thread that accepted it. */
  public void start() {
    context.poller().schedule(this);
  }

  // What the sweeper and the listener look at. For any thread.

  /** Since when no request is out and none half read, or {@code Long.MAX_VALUE} if one is. */
  long idleSinceNanos() {
    return reader.partial().exists() || state.hasProposal() ? NEVER : writer.idleSinceNanos();
  }

  /**
   * Since when half a command waits for the rest, or {@code Long.MAX_VALUE} if none does. It counts
   * from the first byte: a client that sends one now and then would else hold its place for ever.
   */
  public long partialCommandSinceNanos() {
    return reader.partial().beganAtNanos();
  }

  /** Since when the client has sent nothing at all, or {@code Long.MAX_VALUE} if it has. */
  long silentSinceNanos() {
    boolean hasSent = reader.commandSeen() || reader.partial().exists();
    return hasSent || isLeaving() || outputEndedAtNanos() != NEVER ? NEVER : openedAtNanos;
  }

  /**
   * Since when nothing more has come of half a command, or {@code Long.MAX_VALUE} if none waits.
   */
  long stalledSinceNanos() {
    boolean stalled =
        reader.partial().exists()
            && !state.hasProposal()
            && !reader.waitsForRoom()
            && writer.idleSinceNanos() != NEVER;
    return stalled ? reader.partial().lastBytesAtNanos() : NEVER;
  }

  /** Since when an answer is being written, or {@code Long.MAX_VALUE} if none is. */
  long writingSinceNanos() {
    return writer.writingSinceNanos();
  }

  /** Since when the client is awaited to close its end, or {@code Long.MAX_VALUE} if it is not. */
  long outputEndedAtNanos() {
    return writer.outputEndedAtNanos();
  }

  /** Whether it is about to be closed, or is and still has its descriptor. */
  boolean isLeaving() {
    return state.hasProposal() || state.isClosed();
  }

  // How it ends.

  /**
   * Closes the connection unless an answer is owed or more has come meanwhile. A command that has
   * begun keeps it open, unless the reason is that very command. For any thread.
   */
  void endIfQuiet(EndReason reason) {
    if (writer.idleSinceNanos() != NEVER
        && !reader.waitsForRoom()
        && state.propose(reader.partial().proposeEnd(reason))) {
      context.poller().schedule(this);
    }
  }

  /**
   * Ends the connection as soon as nothing is owed on it: what has come by now is served, what
   * comes later is rejected at once, so that a client that always has something out does not keep
   * it open. To be called again and again, by any thread.
   */
  void stop() {
    state.drain(context.clock().now());
    if (writer.idleSinceNanos() != NEVER) {
      context.poller().schedule(this);
    }
  }

  /**
   * Takes up the end that was proposed, after a last look. Poller thread only.
   *
   * <p>Guard against a request that is lost with its connection: what the kernel holds may be a
   * whole command that a poller with too much to do has not read, and its client would see only the
   * end. It holds because the look and the close follow each other on the one thread that reads:
   * what comes between them stays unread, and the client learns from the reset that nobody has it.
   * A command that begins at the last look gets its time; no other does.
   */
  private void endUnlessMoreCame() throws IOException {
    EndProposal proposal = state.takeProposal();
    PartialCommand partial = reader.partial();
    if (nothingCame()
        && (!partial.exists() || mayEndOverCommand(partial.isReasonOf(proposal)))
        && writer.finishIfIdle()) {
      close(proposal.reason());
    }
  }

  /**
   * Whether the connection may end over the command that is half read. Poller thread only.
   *
   * @param commandIsReason whether that command is the reason for the end
   */
  protected boolean mayEndOverCommand(boolean commandIsReason) {
    return commandIsReason;
  }

  /**
   * Ends the sending at a planned stop, after a last look. Poller thread only.
   *
   * <p>Guard against a last answer that is cut off by a reset, and against a request that is read
   * and cannot be answered: the connection is only half closed, as the answer may still be on its
   * way, and from then on nothing is read, so that the client knows that nobody has what it sent.
   */
  private void finishUnlessMoreCame() throws IOException {
    PartialCommand partial = reader.partial();
    boolean tooLate =
        partial.exists()
            && context.clock().now() - Math.max(partial.beganAtNanos(), state.drainingSinceNanos())
                > PARTIAL_COMMAND_AT_STOP_NANOS;
    if (nothingCame() && (tooLate || !partial.exists()) && writer.finishIfIdle()) {
      state.end(EndReason.PLANNED_STOP);
    }
  }

  /** Reads once more; whether no whole command has come or waits. Poller thread only. */
  private boolean nothingCame() throws IOException {
    int before = reader.commandsTaken();
    if (!reader.waitsForRoom()) {
      read(context.poller().lookedAtNanos());
    }
    return !state.isClosed() && !reader.waitsForRoom() && reader.commandsTaken() == before;
  }

  /**
   * Closes at once, whatever is out: nobody waits for what it still had. For any thread but the
   * routing thread.
   */
  void close(EndReason reason) {
    if (!state.close(reason)) {
      return;
    }
    Sockets.close(channel);
    int unwritten = writer.abandon();
    List<RespClientRequest> unanswered = dispatcher.unanswered();
    context.eventLog().ended(number, reason, unanswered, unwritten, context.clock().now());
    dispatcher.abandon(unanswered);
    largePermits.releaseAll();
    context.poller().releaseClosed(this);
  }

  /** Its descriptor can be used by another. Poller thread only. */
  void released() {
    context.whenReleased().accept(this);
  }

  // What the poller calls. Poller thread only.

  /**
   * Reads and writes what can be.
   *
   * @param arrivedAtNanos the earliest time at which what can be read can have come
   */
  void onReady(SelectionKey readyKey, long arrivedAtNanos) {
    guarded(
        () -> {
          if (readyKey.isWritable()) {
            writer.write();
          }
          if (readyKey.isReadable()) {
            read(arrivedAtNanos);
          }
        });
  }

  /** Takes up what has been put off; the first time, the connection is made known to the poller. */
  void onScheduled(Selector selector) {
    guarded(
        () -> {
          if (key == null) {
            key = channel.register(selector, SelectionKey.OP_READ, this);
          }
          handOverCommands();
          if (state.hasProposal()) {
            endUnlessMoreCame();
          } else if (state.phase() == ConnectionState.ConnectionPhase.DRAINING) {
            finishUnlessMoreCame();
          }
        });
  }

  private interface SocketStep {
    void run() throws IOException;
  }

  /**
   * Runs a step of this connection on the poller's thread; whatever it throws ends this connection
   * alone.
   */
  private void guarded(SocketStep step) {
    try {
      if (!state.isClosed()) {
        step.run();
        awaitNext();
      }
    } catch (IOException e) {
      LOG.finer("client connection ended: " + e.getMessage());
      close(EndReason.CLIENT_LEFT);
    } catch (CancelledKeyException e) {
      // Its channel was closed as its sending could not be ended: the client had reset it.
      close(EndReason.CLIENT_LEFT);
    } catch (RuntimeException | Error e) {
      failed(e);
    }
  }

  /**
   * Handles a defect of the router: the requests that are open are answered as failed, then the
   * connection ends.
   */
  private void failed(Throwable failure) {
    LOG.log(Level.WARNING, "client connection " + number + " failed and ends", failure);
    try {
      if (state.isEnding()) {
        close(EndReason.DEFECT);
        return;
      }
      dispatcher.failAll();
      malformed("internal error");
      awaitNext();
    } catch (RuntimeException | Error e) {
      LOG.log(Level.WARNING, "client connection " + number + " failed again and is closed", e);
      close(EndReason.DEFECT);
    }
  }

  private void awaitNext() {
    EndReason broken = writer.brokenBy();
    if (broken != null) {
      close(broken);
    } else if (!state.isClosed()) {
      int read = reader.wantsToRead() ? SelectionKey.OP_READ : 0;
      int write = writer.isBlocked() ? SelectionKey.OP_WRITE : 0;
      if (key.interestOps() != (read | write)) {
        key.interestOps(read | write);
      }
    }
  }

  private void read(long arrivedAtNanos) throws IOException {
    if (state.isEnding()) {
      if (reader.discards() && !reader.discard()) {
        close(EndReason.MALFORMED);
      }
      return;
    }
    int bytes = reader.fill(arrivedAtNanos);
    if (bytes < 0) {
      // What came just before the end is not handled: nobody waits for it.
      close(EndReason.CLIENT_LEFT);
    } else if (bytes > 0) {
      handOverCommands();
    }
  }

  private void handOverCommands() {
    try {
      reader.handOverCommands();
    } catch (ProtocolException e) {
      malformed(e.getMessage());
    }
  }

  /**
   * Hands one whole command over; if it is wrong it is answered with an error in its place, which
   * concerns no other command.
   */
  private void handleCommand(RespValue command) {
    try {
      dispatcher.dispatch(command, reader.lastArrivedAtNanos());
    } catch (InvalidCommandException e) {
      reader.noteRejection();
      context.eventLog().rejected(number, command, e.getMessage(), context.clock().now());
      rejected(e.getMessage());
    }
  }

  /** Answers the command at hand with an error in its place. Poller thread only. */
  protected void rejected(String reason) {
    writer.take(ResponseSlot.of(RespWriter.error("ERR " + reason)));
  }

  /**
   * Input that cannot be split into commands: what came before it is answered, then one error, then
   * the connection ends. Poller thread only.
   */
  protected final void malformed(String reason) {
    state.end(EndReason.MALFORMED);
    context.eventLog().malformed(number, reason, writer.owed(), context.clock().now());
    writer.take(ResponseSlot.of(RespWriter.error("ERR " + reason)));
    writer.finish();
    reader.inputEnded(writer.outputEndedAtNanos() == NEVER);
  }

  // What follows from answers that have been written.

  /**
   * Answers have been written; when all are, nothing of them is kept while the connection is idle.
   * For any thread.
   */
  private void answersWritten(boolean idle) {
    if (idle) {
      dispatcher.forgetAnswered();
      if (!largePermits.forCommandAtHand()) {
        largePermits.releaseAll();
      }
    }
    // At a planned stop the end follows the last answer at once: what came between would be
    // rejected.
    if (reader.waitsForRoom()
        || writer.isBlocked()
        || writer.brokenBy() != null
        || (idle && state.isDraining())) {
      context.poller().schedule(this);
    }
  }

  /** Has a connection whose commands wait for room look again. For any thread. */
  void retryWaiting() {
    if (reader.waitsForRoom()) {
      context.poller().schedule(this);
    }
  }
}
