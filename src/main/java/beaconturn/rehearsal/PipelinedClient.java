package beaconturn.rehearsal;

import beaconturn.core.Clock;
import beaconturn.history.History;
import beaconturn.history.HistoryEvent;
import beaconturn.protocol.InputBuffer;
import beaconturn.protocol.ProtocolException;
import beaconturn.protocol.RespReader;
import beaconturn.protocol.RespValue;
import beaconturn.standin.RandomSources;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * One client connection that pipelines commands, some of them invalid, writes them in pieces, and
 * may be closed by the client while responses are outstanding. One thread writes, another reads the
 * responses in the order of the commands.
 *
 * <p>A request counts as sent once its own last byte is written. When the router closes the
 * connection, the open commands count as racing the close if the first of them started a batch of
 * which no command has a response; otherwise they are recorded as disconnected, a violation.
 */
final class PipelinedClient {
  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final int CONNECT_TIMEOUT_MILLIS = 1000;
  private static final int STACK_BYTES = 192 * 1024;

  /** How long commands are gathered before they are written as one batch. */
  private static final int GATHER_WINDOW_MILLIS = 25;

  private static final int MAX_PIECES = 4;
  private static final int MAX_PIECE_GAP_MILLIS = 90;
  private static final int MAX_DISCONNECT_DELAY_MILLIS = 40;

  /** Complete commands, each invalid in a different way. */
  private static final List<String> INVALID_COMMANDS =
      List.of(
          "*4\r\n$5\r\nC.GET\r\n$1\r\na\r\n$1\r\nw\r\n$11\r\nc=level,d=0\r\n",
          "*4\r\n$5\r\nC.GET\r\n$1\r\na\r\n$1\r\nw\r\n$16\r\nc=level,d=999999\r\n",
          "*4\r\n$5\r\nC.GET\r\n$1\r\na\r\n$1\r\nw\r\n$15\r\nc=nobody,d=1000\r\n",
          "*4\r\n$5\r\nC.GET\r\n$1\r\na\r\n$1\r\nw\r\n$17\r\nc=level,d=10,d=20\r\n",
          "*3\r\n$5\r\nC.GET\r\n$1\r\na\r\n$1\r\nw\r\n",
          "*1\r\n$5\r\nHELLO\r\n",
          "*1\r\n:5\r\n",
          "*0\r\n",
          "$5\r\nhello\r\n");

  private final InetSocketAddress router;
  private final int number;
  private final Clock clock;
  private final History history;
  private final SequentialClient.AttemptListener listener;
  private final Scenario.ConnectionUsage usage;
  private final boolean connectionLimited;
  private final UniformRandomProvider random;
  private final InputBuffer input = new InputBuffer();

  /** When the last response arrived, or 0; written by the reading thread only. */
  private volatile long lastResponseNanos;

  private final RespReader reader = new RespReader(RespReader.MAX_VALUE_BYTES);
  // Guarded by this:
  private final Deque<SequentialClient.Attempt> queuedAttempts = new ArrayDeque<>();
  private final Deque<Command> openCommands = new ArrayDeque<>();
  private Socket socket;
  private boolean closed;
  private boolean finishing;

  /** A command that has been or is being written; {@code attempt} is null for an invalid one. */
  private static final class Command {
    private final SequentialClient.Attempt attempt;
    private final byte[] bytes;
    private boolean written;
    private boolean responded;
    private boolean firstOfBatch;
    private long batchStartNanos;

    /** When the first byte of this command was written, or 0. */
    private long firstByteNanos;

    Command(SequentialClient.Attempt attempt, byte[] bytes) {
      this.attempt = attempt;
      this.bytes = bytes;
    }
  }

  /**
   * Creates a connection to a router.
   *
   * @param number its number in the rehearsal, which seeds its random choices
   * @param connectionLimited whether the router may reject new connections unread
   */
  PipelinedClient(
      InetSocketAddress router,
      int number,
      Clock clock,
      History history,
      SequentialClient.AttemptListener listener,
      Scenario.ConnectionUsage usage,
      boolean connectionLimited,
      long seed) {
    this.router = router;
    this.number = number;
    this.clock = clock;
    this.history = history;
    this.listener = listener;
    this.usage = usage;
    this.connectionLimited = connectionLimited;
    this.random = new RandomSources(seed).of("pipeline " + number);
  }

  void start() {
    startThread("client-writes", this::writeBatches);
  }

  private static void startThread(String name, Runnable body) {
    Thread thread = new Thread(null, body, name, STACK_BYTES);
    thread.setDaemon(true);
    thread.start();
  }

  /** Queues an attempt; returns false if the connection is closed or about to be. */
  synchronized boolean send(SequentialClient.Attempt attempt) {
    if (closed || finishing) {
      return false;
    }
    queuedAttempts.add(attempt);
    notifyAll();
    return true;
  }

  /** Returns whether the connection is established and not closed. */
  synchronized boolean isConnected() {
    return socket != null && !closed;
  }

  /** Closes the connection once its open requests have ended. */
  synchronized void finish() {
    finishing = true;
    notifyAll();
  }

  private void writeBatches() {
    try {
      for (List<Command> batch = gatherBatch(); !batch.isEmpty(); batch = gatherBatch()) {
        sendBatch(batch);
        if (random.nextDouble() < usage.disconnectShare()) {
          Thread.sleep(random.nextInt(MAX_DISCONNECT_DELAY_MILLIS));
          disconnect();
          return;
        }
      }
      handleClosed(false);
    } catch (IOException e) {
      if (!isConnected()) {
        handleClosed(true);
      }
      // Otherwise the reading thread first reads the remaining responses and then handles the
      // close.
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Waits for the commands of the next batch; returns none if the connection is to be closed. */
  private List<Command> gatherBatch() throws InterruptedException {
    int maxCommands = 1 + random.nextInt(usage.maxPipelined());
    synchronized (this) {
      while (queuedAttempts.isEmpty() && !closed && !(finishing && openCommands.isEmpty())) {
        wait();
      }
    }
    long deadlineNanos = clock.now() + GATHER_WINDOW_MILLIS * NANOS_PER_MILLI;
    synchronized (this) {
      for (long remainingMillis = GATHER_WINDOW_MILLIS;
          queuedAttempts.size() < maxCommands && remainingMillis > 0 && !closed && !finishing;
          remainingMillis = (deadlineNanos - clock.now()) / NANOS_PER_MILLI) {
        wait(remainingMillis);
      }
      List<Command> batch = new ArrayList<>();
      while (batch.size() < maxCommands && !queuedAttempts.isEmpty() && !closed) {
        SequentialClient.Attempt attempt = queuedAttempts.remove();
        maybeAddInvalidCommand(batch);
        batch.add(new Command(attempt, ClientCommands.encode(attempt)));
        maybeAddInvalidCommand(batch);
      }
      return batch;
    }
  }

  private void maybeAddInvalidCommand(List<Command> batch) {
    if (random.nextDouble() < usage.invalidCommandShare() / 2) {
      String invalidCommand = INVALID_COMMANDS.get(random.nextInt(INVALID_COMMANDS.size()));
      batch.add(new Command(null, invalidCommand.getBytes(StandardCharsets.US_ASCII)));
    }
  }

  private void sendBatch(List<Command> batch) throws IOException, InterruptedException {
    Socket connection = connect(batch);
    synchronized (this) {
      batch.get(0).firstOfBatch = true;
      for (Command command : batch) {
        command.batchStartNanos = clock.now();
        openCommands.add(command);
      }
    }
    ByteArrayOutputStream encoded = new ByteArrayOutputStream();
    List<Integer> ends = new ArrayList<>();
    for (Command command : batch) {
      encoded.write(command.bytes);
      ends.add(encoded.size());
    }
    byte[] bytes = encoded.toByteArray();
    int pieces =
        random.nextDouble() < usage.splitWriteShare() ? 2 + random.nextInt(MAX_PIECES - 1) : 1;
    int offset = 0;
    int reported = 0;
    for (int piece = 1; piece <= pieces; piece++) {
      // Each piece has at least one byte, and leaves at least one for each later piece.
      int maxSize = bytes.length - offset - (pieces - piece);
      int size = piece == pieces ? maxSize : 1 + random.nextInt(maxSize);
      long atNanos = clock.now();
      connection.getOutputStream().write(bytes, offset, size);
      offset += size;
      recordFirstBytes(batch, offset, atNanos);
      while (reported < ends.size() && ends.get(reported) <= offset) {
        recordWritten(batch.get(reported++));
      }
      if (piece < pieces) {
        Thread.sleep(random.nextInt(MAX_PIECE_GAP_MILLIS));
      }
    }
  }

  /** Sets the first-byte times of the commands that start within the bytes written so far. */
  private synchronized void recordFirstBytes(List<Command> batch, int written, long atNanos) {
    int start = 0;
    for (Command command : batch) {
      command.firstByteNanos =
          command.firstByteNanos == 0 && start < written ? atNanos : command.firstByteNanos;
      start += command.bytes.length;
    }
  }

  private Socket connect(List<Command> batch) throws IOException {
    synchronized (this) {
      if (socket != null) {
        return socket;
      }
    }
    Socket created = new Socket();
    try {
      created.setTcpNoDelay(true);
      created.connect(router, CONNECT_TIMEOUT_MILLIS);
    } catch (IOException e) {
      batch.stream()
          .filter(command -> command.attempt != null)
          .forEach(c -> reportUndelivered(c.attempt));
      throw e;
    }
    synchronized (this) {
      socket = created;
    }
    startThread("client-reads", () -> readResponses(created));
    return created;
  }

  private void reportUndelivered(SequentialClient.Attempt attempt) {
    listener.attemptEnded(
        null, new SequentialClient.AttemptResult(attempt, null, clock.now(), 0), false);
  }

  private synchronized void recordWritten(Command command) {
    if (closed && !command.responded) {
      // The close was handled first, and the outcome of the command has been reported.
      return;
    }
    command.written = true;
    if (command.attempt != null) {
      long atNanos = clock.now();
      history.add(
          new HistoryEvent.RequestWritten(
              atNanos,
              command.attempt.id(),
              command.attempt.request().requestClass().name(),
              command.attempt.request().key(),
              command.attempt.idempotencyKey(),
              command.attempt.router(),
              atNanos + command.attempt.timeoutNanos()));
    }
  }

  private void readResponses(Socket connection) {
    try {
      while (true) {
        RespValue value = readValue(connection.getInputStream());
        if (value == null) {
          break;
        }
        Command command;
        synchronized (this) {
          command = openCommands.poll();
          if (command != null) {
            command.responded = true;
          }
          notifyAll();
        }
        handleResponse(command, value);
      }
    } catch (IOException | ProtocolException e) {
      // handleClosed reports the outcome of the open commands.
      handleClosed(true);
      return;
    }
    handleClosed(true);
  }

  private RespValue readValue(InputStream stream) throws IOException, ProtocolException {
    RespValue value = reader.next(input);
    while (value == null) {
      if (!ClientCommands.readInto(stream, input)) {
        return null;
      }
      value = reader.next(input);
    }
    return value;
  }

  private void handleResponse(Command command, RespValue value) throws ProtocolException {
    if (command == null || (command.attempt == null && !(value instanceof RespValue.SimpleError))) {
      // From here on responses cannot be matched with commands.
      throw new ProtocolException(
          "a response without a command, or a value for an invalid command");
    }
    long previousResponseNanos = lastResponseNanos;
    lastResponseNanos = clock.now();
    if (command.attempt != null) {
      long atNanos = lastResponseNanos;
      if (previousResponseNanos != 0) {
        history.add(
            new HistoryEvent.PrecedingResponsesReceived(
                previousResponseNanos, command.attempt.id()));
      }
      HistoryEvent.ClientOutcome outcome = ClientCommands.outcomeOf(value);
      history.add(
          new HistoryEvent.RequestCompleted(
              atNanos, command.attempt.id(), outcome, ClientCommands.valueDigest(value)));
      listener.attemptEnded(
          null,
          new SequentialClient.AttemptResult(
              command.attempt, outcome, atNanos, ClientCommands.retryAfterNanos(value)),
          false);
    }
  }

  /** Closes the connection with commands open, by a reset or an orderly close. */
  private void disconnect() throws IOException {
    Socket openSocket;
    synchronized (this) {
      openSocket = socket;
    }
    if (openSocket == null) {
      return;
    }
    if (random.nextBoolean()) {
      openSocket.setSoLinger(true, 0);
    }
    abandonOpenCommands();
    openSocket.close();
    handleClosed(false);
  }

  private void abandonOpenCommands() {
    List<Command> commands;
    synchronized (this) {
      closed = true;
      commands = List.copyOf(openCommands);
      openCommands.clear();
    }
    for (Command command : commands) {
      if (command.attempt != null && command.written) {
        history.add(
            new HistoryEvent.RequestCompleted(
                clock.now(), command.attempt.id(), HistoryEvent.ClientOutcome.ABANDONED, 0));
        listener.attemptEnded(
            null,
            new SequentialClient.AttemptResult(
                command.attempt, HistoryEvent.ClientOutcome.ABANDONED, clock.now(), 0),
            false);
      } else if (command.attempt != null) {
        reportUndelivered(command.attempt);
      }
    }
  }

  /** Reports the outcome of all open and queued commands after the connection was closed. */
  private void handleClosed(boolean byRouter) {
    List<Command> interrupted;
    List<SequentialClient.Attempt> unsentAttempts;
    synchronized (this) {
      closed = true;
      interrupted = List.copyOf(openCommands);
      openCommands.clear();
      unsentAttempts = List.copyOf(queuedAttempts);
      queuedAttempts.clear();
      notifyAll();
    }
    close();
    long nowNanos = clock.now();
    // A raced close is recorded with its times, from which invariants decide if it is allowed.
    boolean racedClose = byRouter && !interrupted.isEmpty() && interrupted.get(0).firstOfBatch;
    for (Command command : interrupted) {
      if (command.attempt != null) {
        reportInterrupted(command, nowNanos, racedClose);
      }
    }
    unsentAttempts.forEach(listener::connectionClosed);
  }

  private void reportInterrupted(Command command, long nowNanos, boolean racedClose) {
    boolean rejectedUnread = racedClose && connectionLimited && lastResponseNanos == 0;
    if (!command.written && command.firstByteNanos != 0 && !rejectedUnread) {
      history.add(
          new HistoryEvent.ConnectionClosedWhileWriting(
              nowNanos,
              command.attempt.id(),
              command.attempt.router(),
              command.firstByteNanos,
              racedClose));
    }
    if (racedClose) {
      if (command.written) {
        history.add(
            new HistoryEvent.RequestRacedClose(
                nowNanos, command.attempt.id(), command.batchStartNanos));
      }
      if (lastResponseNanos == 0) {
        // The connection was rejected; an immediate retry would be rejected again.
        reportUndelivered(command.attempt);
      } else {
        listener.connectionClosed(command.attempt);
      }
      return;
    }
    if (!command.written) {
      reportUndelivered(command.attempt);
      return;
    }
    history.add(
        new HistoryEvent.RequestCompleted(
            nowNanos, command.attempt.id(), HistoryEvent.ClientOutcome.DISCONNECTED, 0));
    listener.attemptEnded(
        null,
        new SequentialClient.AttemptResult(
            command.attempt, HistoryEvent.ClientOutcome.DISCONNECTED, nowNanos, 0),
        false);
  }

  private void close() {
    Socket openSocket;
    synchronized (this) {
      openSocket = socket;
    }
    if (openSocket != null) {
      try {
        openSocket.close();
      } catch (IOException e) {
        // A socket that fails to close needs no further handling.
        return;
      }
    }
  }

  @Override
  public String toString() {
    return "pipelined connection " + number;
  }
}
