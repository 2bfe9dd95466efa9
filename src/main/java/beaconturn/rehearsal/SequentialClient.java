package beaconturn.rehearsal;

import beaconturn.core.Clock;
import beaconturn.history.History;
import beaconturn.history.HistoryEvent;
import beaconturn.protocol.InputBuffer;
import beaconturn.protocol.ProtocolException;
import beaconturn.protocol.RespReader;
import beaconturn.protocol.RespValue;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;

/** One client connection to a router that carries one request at a time, on a thread of its own. */
final class SequentialClient {
  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final int CONNECT_TIMEOUT_MILLIS = 1000;

  /** Within this time a router closes a new connection that it rejects unread. */
  private static final long REJECTED_CONNECTION_NANOS = 150 * NANOS_PER_MILLI;

  private static final int STACK_BYTES = 192 * 1024;

  /** How long after its deadline a response is awaited, so that late responses are recorded. */
  private static final long LATE_RESPONSE_NANOS = 300 * NANOS_PER_MILLI;

  private final InetSocketAddress router;
  private final Clock clock;
  private final History history;
  private final AttemptListener listener;
  private final boolean connectionLimited;
  private final BlockingQueue<Attempt> queue = new LinkedBlockingQueue<>();
  private final InputBuffer input = new InputBuffer();
  private final RespReader reader = new RespReader(RespReader.MAX_VALUE_BYTES);
  private Socket socket;
  private String lastRequestId = "";
  private boolean used;

  /** One attempt of a scheduled request; without an idempotency key that component is null. */
  record Attempt(
      ScheduledRequest request,
      int number,
      String id,
      int router,
      long timeoutNanos,
      String idempotencyKey) {}

  /**
   * How an attempt ended; {@code outcome} is null if it did not reach a router, and {@code
   * retryAfterNanos} 0 if the response named no delay.
   */
  record AttemptResult(
      Attempt attempt, HistoryEvent.ClientOutcome outcome, long atNanos, long retryAfterNanos) {}

  /** Receives the results of attempts, on the client's thread. */
  interface AttemptListener {
    void attemptEnded(SequentialClient client, AttemptResult result, boolean reusable);

    /**
     * The router closed a reused connection before it responded; the same attempt is to be sent
     * again on another connection.
     */
    void connectionClosed(Attempt attempt);
  }

  /**
   * Creates a client that connects to the router with its first request.
   *
   * @param connectionLimited whether the router may reject new connections unread
   */
  SequentialClient(
      InetSocketAddress router,
      Clock clock,
      History history,
      AttemptListener listener,
      boolean connectionLimited) {
    this.connectionLimited = connectionLimited;
    this.router = router;
    this.clock = clock;
    this.history = history;
    this.listener = listener;
  }

  void start() {
    Thread thread = new Thread(null, this::run, "client", STACK_BYTES);
    thread.setDaemon(true);
    thread.start();
  }

  void send(Attempt attempt) {
    queue.add(attempt);
  }

  /** Closes the connection after a last check for unsolicited responses. */
  void finish() {
    queue.add(new Attempt(null, 0, "", 0, 0, null));
  }

  private void run() {
    try {
      for (Attempt attempt = queue.take(); attempt.request() != null; attempt = queue.take()) {
        if (!exchange(attempt)) {
          return;
        }
      }
      readUnsolicited();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } finally {
      close();
    }
  }

  /** Sends a request and reads its response; returns false if the connection is closed. */
  private boolean exchange(Attempt attempt) {
    boolean reused = used;
    try {
      if (socket == null) {
        socket = new Socket();
        socket.setTcpNoDelay(true);
        socket.connect(router, CONNECT_TIMEOUT_MILLIS);
      }
      readUnsolicited();
    } catch (IOException e) {
      listener.attemptEnded(this, new AttemptResult(attempt, null, clock.now(), 0), false);
      return false;
    }
    used = true;
    lastRequestId = attempt.id();
    long writtenAtNanos;
    try {
      socket.getOutputStream().write(ClientCommands.encode(attempt));
      writtenAtNanos = clock.now();
      history.add(
          new HistoryEvent.RequestWritten(
              writtenAtNanos,
              attempt.id(),
              attempt.request().requestClass().name(),
              attempt.request().key(),
              attempt.idempotencyKey(),
              attempt.router(),
              writtenAtNanos + attempt.timeoutNanos()));
    } catch (IOException e) {
      reportWriteFailure(attempt, reused);
      return false;
    }
    return awaitResponse(attempt, writtenAtNanos, reused);
  }

  private void reportWriteFailure(Attempt attempt, boolean reused) {
    if (reused) {
      reportClosedConnection(attempt);
    } else {
      listener.attemptEnded(this, new AttemptResult(attempt, null, clock.now(), 0), false);
    }
  }

  private boolean awaitResponse(Attempt attempt, long writtenAtNanos, boolean reused) {
    HistoryEvent.ClientOutcome outcome;
    RespValue value = null;
    try {
      value = readValue(writtenAtNanos + attempt.timeoutNanos() + LATE_RESPONSE_NANOS);
      outcome =
          value != null
              ? ClientCommands.outcomeOf(value)
              : input.size() > 0
                  ? HistoryEvent.ClientOutcome.DAMAGED
                  : HistoryEvent.ClientOutcome.DISCONNECTED;
    } catch (SocketTimeoutException e) {
      outcome = HistoryEvent.ClientOutcome.TIMED_OUT;
    } catch (IOException e) {
      outcome =
          input.size() > 0
              ? HistoryEvent.ClientOutcome.DAMAGED
              : HistoryEvent.ClientOutcome.DISCONNECTED;
    } catch (ProtocolException e) {
      outcome = HistoryEvent.ClientOutcome.DAMAGED;
    }
    if (outcome == HistoryEvent.ClientOutcome.DISCONNECTED && reused) {
      reportClosedConnection(attempt);
      return false;
    }
    if (outcome == HistoryEvent.ClientOutcome.DISCONNECTED
        && connectionLimited
        && clock.now() - writtenAtNanos <= REJECTED_CONNECTION_NANOS) {
      history.add(new HistoryEvent.RequestRacedClose(clock.now(), attempt.id()));
      listener.attemptEnded(this, new AttemptResult(attempt, null, clock.now(), 0), false);
      return false;
    }
    long atNanos = clock.now();
    history.add(
        new HistoryEvent.RequestCompleted(
            atNanos, attempt.id(), outcome, ClientCommands.valueDigest(value)));
    boolean reusable =
        value != null
            && (outcome != HistoryEvent.ClientOutcome.FAILED
                || value instanceof RespValue.SimpleError);
    listener.attemptEnded(
        this,
        new AttemptResult(attempt, outcome, atNanos, ClientCommands.retryAfterNanos(value)),
        reusable);
    return reusable;
  }

  private void reportClosedConnection(Attempt attempt) {
    history.add(new HistoryEvent.RequestRacedClose(clock.now(), attempt.id()));
    listener.connectionClosed(attempt);
  }

  private RespValue readValue(long deadlineNanos) throws IOException, ProtocolException {
    RespValue value = reader.next(input);
    InputStream stream = socket.getInputStream();
    while (value == null) {
      long remainingMillis = (deadlineNanos - clock.now()) / NANOS_PER_MILLI;
      if (remainingMillis <= 0) {
        throw new SocketTimeoutException();
      }
      socket.setSoTimeout((int) remainingMillis);
      if (!ClientCommands.readInto(stream, input)) {
        return null;
      }
      value = reader.next(input);
    }
    return value;
  }

  /** Records every value that has arrived since the last response as an additional response. */
  private void readUnsolicited() {
    try {
      while (socket != null && (input.size() > 0 || socket.getInputStream().available() > 0)) {
        RespValue value = readValue(clock.now() + NANOS_PER_MILLI);
        if (value == null) {
          return;
        }
        history.add(
            new HistoryEvent.RequestCompleted(
                clock.now(),
                lastRequestId,
                ClientCommands.outcomeOf(value),
                ClientCommands.valueDigest(value)));
      }
    } catch (IOException | ProtocolException e) {
      history.add(
          new HistoryEvent.RequestCompleted(
              clock.now(), lastRequestId, HistoryEvent.ClientOutcome.DAMAGED, 0));
      close();
    }
  }

  private void close() {
    if (socket != null) {
      try {
        socket.close();
      } catch (IOException e) {
        socket = null;
      }
    }
  }
}
