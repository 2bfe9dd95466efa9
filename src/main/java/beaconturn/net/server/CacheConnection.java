package beaconturn.net.server;

import beaconturn.core.AttemptResult;
import beaconturn.core.Clock;
import beaconturn.core.OutboundAttempt;
import beaconturn.decision.AttemptOutcome;
import beaconturn.net.io.BoundedPipe;
import beaconturn.net.io.Sockets;
import beaconturn.protocol.InputBuffer;
import beaconturn.protocol.ProtocolException;
import beaconturn.protocol.RespReader;
import beaconturn.protocol.RespValue;
import beaconturn.protocol.Slice;
import java.io.IOException;
import java.io.InputStream;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.NoRouteToHostException;
import java.net.SocketTimeoutException;
import java.util.List;
import java.util.logging.Logger;

/**
 * A connection to a cache server, with at most one request in flight: responses arrive in order, so
 * a second request would wait for the first, and aborting one would abort the other.
 *
 * <p>Owned by a worker thread from the call of {@link #execute} until the listener is notified that
 * the attempt has ended with the connection reusable; owned by the {@link CacheServer} while idle.
 * The input buffer changes owner with it; slices of the buffer in a result stay valid, as the
 * buffer never overwrites bytes. {@link #close} and {@link #reset} may be called by any thread.
 */
final class CacheConnection {
  private static final Logger LOG = Logger.getLogger(CacheConnection.class.getName());
  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final long MIN_CONNECT_TIMEOUT_MILLIS = 1;
  private static final long MIN_DEADLINE_MILLIS = 1;

  /** How long a server may send nothing in the middle of a streamed response. */
  private static final int RESPONSE_SILENCE_TIMEOUT_MILLIS = 10_000;

  private static final int NO_READ_TIMEOUT = 0;

  /** The state of a connection when its worker thread releases it. */
  private enum StateAfterAttempt {
    /** Released to the listener; another thread may already own it. */
    IDLE,
    /** Found dead before anything was written. */
    STALE,
    /** Failed while the attempt was in flight. */
    BROKEN
  }

  private final CacheSocket socket;
  private final int generation;
  private final long connectTimeoutNanos;
  private final Clock clock;
  private final CacheResponseReader responseReader;
  private final ReceivedResponseMemory.OfServer responseMemory;
  private final CacheConnectionListener listener;
  private final InputBuffer input = new InputBuffer();
  private final RespReader respReader = new RespReader(RespReader.MAX_VALUE_BYTES);

  /** Null while idle. */
  private OutboundAttempt attempt;

  /** The memory of the attempt's response; null before it is needed. */
  private ReceivedResponseMemory.Reservation reservation;

  private boolean requestWritten;

  /** The attempt's outcome if the connection fails before the request is completely written. */
  private AttemptOutcome outcomeIfUnwritten;

  CacheConnection(
      InetSocketAddress address,
      int generation,
      CacheServerEnvironment environment,
      ReceivedResponseMemory.OfServer responseMemory,
      CacheConnectionListener listener) {
    this.socket = new CacheSocket(address);
    this.generation = generation;
    this.connectTimeoutNanos = environment.connectTimeoutNanos();
    this.clock = environment.clock();
    this.responseReader = environment.responseReader();
    this.responseMemory = responseMemory;
    this.listener = listener;
  }

  InetSocketAddress address() {
    return socket.address();
  }

  /** The generation of its cache server's connections in which it was created. */
  int generation() {
    return generation;
  }

  /**
   * Writes the attempt, connecting first if necessary, and reads its response. Runs on a worker
   * thread.
   */
  void execute(OutboundAttempt next) {
    attempt = next;
    requestWritten = false;
    reservation = null;
    outcomeIfUnwritten = AttemptOutcome.CONNECT_FAILED;
    StateAfterAttempt state = StateAfterAttempt.BROKEN;
    try {
      state = exchange();
    } catch (ProtocolException e) {
      LOG.finer("malformed response from " + address() + ": " + e.getMessage());
      listener.malformedResponse();
    } catch (IOException e) {
      LOG.finer("connection to " + address() + " failed: " + e.getMessage());
    } finally {
      release(state, next);
    }
  }

  private StateAfterAttempt exchange() throws IOException, ProtocolException {
    if (!socket.isOpened()) {
      connect();
    } else if (!isAlive()) {
      return StateAfterAttempt.STALE;
    }
    writeRequest();
    return readResponse();
  }

  /** The worker thread's last step; another thread may already own an idle connection. */
  private void release(StateAfterAttempt state, OutboundAttempt executed) {
    if (state == StateAfterAttempt.IDLE) {
      return;
    }
    close();
    if (state == StateAfterAttempt.STALE) {
      listener.connectionStale(executed);
    } else {
      endBrokenAttempt();
      listener.connectionClosed();
    }
  }

  /**
   * Whether the idle connection can be reused: the peer has not closed it and no unread bytes are
   * pending, which would be taken for the next response. For the thread that owns the connection;
   * never blocks.
   */
  boolean isAlive() {
    int unexpectedBytes = socket.readWithoutWaiting();
    if (unexpectedBytes > 0) {
      listener.malformedResponse();
    }
    return unexpectedBytes == 0;
  }

  /** Closes the connection and thereby any attempt in flight on it. Any thread; never blocks. */
  void close() {
    socket.close();
  }

  /**
   * Aborts the attempt in flight by a TCP reset, so that the kernel does not deliver its data
   * later. Any thread; never blocks.
   */
  void reset() {
    socket.reset();
  }

  private void connect() throws IOException {
    long timeoutNanos = Math.min(connectTimeoutNanos, attempt.timesOutAtNanos() - clock.now());
    // A local failure, such as no free descriptor or port, must not count against the server.
    outcomeIfUnwritten = AttemptOutcome.NOT_SENT;
    socket.open();
    try {
      socket.connect((int) Math.max(MIN_CONNECT_TIMEOUT_MILLIS, timeoutNanos / NANOS_PER_MILLI));
    } catch (ConnectException | NoRouteToHostException | SocketTimeoutException e) {
      outcomeIfUnwritten = AttemptOutcome.CONNECT_FAILED;
      throw e;
    }
    outcomeIfUnwritten = AttemptOutcome.CONNECT_FAILED;
  }

  /**
   * Checks again that the request may be written: while it waited for a thread or a connection, it
   * may have been aborted, its client may have disconnected, or the server may have started to
   * drain.
   */
  private void writeRequest() throws IOException {
    boolean awaited = attempt.request().confirmAwaited();
    long nowNanos = clock.now();
    long deadlineMillis =
        Math.max(MIN_DEADLINE_MILLIS, (attempt.timesOutAtNanos() - nowNanos) / NANOS_PER_MILLI);
    // Encoded before the check: a completed request may already have dropped its value.
    List<Slice> encoded = attempt.request().encode(deadlineMillis);
    if (!awaited
        || !attempt.mayBeWritten(nowNanos)
        || !listener.mayWrite()
        || !attempt.request().startAttempt()) {
      outcomeIfUnwritten = AttemptOutcome.SUPERSEDED;
      throw new IOException(
          "attempt ended, timed out or no longer permitted before it was written");
    }
    Sockets.write(socket.socket().getOutputStream(), encoded);
    requestWritten = true;
    listener.requestWritten();
  }

  private StateAfterAttempt readResponse() throws IOException, ProtocolException {
    InputStream from = socket.socket().getInputStream();
    while (Sockets.read(from, input)) {
      LargeResponseStream large = LargeResponseStream.at(input);
      if (large != null) {
        return streamResponse(large, from);
      }
      RespValue value = respReader.next(input);
      if (value != null) {
        return endAttempt(responseReader.read(value, clock.now()));
      }
      if (ReceivedResponseMemory.isLimited(input.expectedBytes())) {
        reserveMemory(input.expectedBytes());
      }
    }
    return StateAfterAttempt.BROKEN;
  }

  /**
   * Waits until a response of this size may be received. The memory is released once the routing
   * thread has handled the result of the attempt, whatever that is.
   */
  private void reserveMemory(int responseBytes) throws IOException {
    if (reservation == null) {
      reservation = responseMemory.newReservation();
      attempt.onResultHandled(reservation::release);
    }
    try {
      long timeoutNanos = attempt.timesOutAtNanos() - clock.now();
      if (!reservation.growTo(responseBytes, timeoutNanos)) {
        throw new IOException("no memory for the response of " + attempt.request().id());
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IOException("interrupted while waiting for memory", e);
    }
  }

  /** Always closes the pipe, as the client's connection waits for the rest of the response. */
  private StateAfterAttempt streamResponse(LargeResponseStream large, InputStream from)
      throws IOException, ProtocolException {
    long nowNanos = clock.now();
    BoundedPipe pipe = new BoundedPipe(large.responseBytes());
    listener.responseStarted(attempt, nowNanos, pipe);
    socket.socket().setSoTimeout(RESPONSE_SILENCE_TIMEOUT_MILLIS);
    try {
      AttemptResult result = large.stream(from, input, responseReader, pipe, nowNanos);
      socket.socket().setSoTimeout(NO_READ_TIMEOUT);
      return endAttempt(result);
    } finally {
      pipe.abort();
    }
  }

  /** Excess bytes after a response leave its result valid, but the connection must be closed. */
  private StateAfterAttempt endAttempt(AttemptResult result) throws ProtocolException {
    OutboundAttempt ended = attempt;
    attempt = null;
    boolean reusable = input.size() == 0;
    listener.attemptEnded(this, ended, result, reusable);
    if (!reusable) {
      throw new ProtocolException(input.size() + " excess bytes after a response");
    }
    return StateAfterAttempt.IDLE;
  }

  /** Ends the attempt of a failed connection; the server may have run a completely written one. */
  private void endBrokenAttempt() {
    if (attempt == null) {
      return;
    }
    AttemptOutcome outcome = requestWritten ? AttemptOutcome.RESET : outcomeIfUnwritten;
    listener.attemptEnded(this, attempt, AttemptResult.of(outcome, clock.now()), false);
  }
}
