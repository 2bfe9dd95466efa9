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
import java.io.IOException;
import java.io.InputStream;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.NoRouteToHostException;
import java.net.SocketTimeoutException;
import java.util.logging.Logger;

/**
 * One connection to a cache server, which carries one request at a time: responses come in order,
 * so a second request would wait for the first, and giving one up would cut off the other.
 *
 * <p>It belongs to a worker thread from the begin of {@link #carry} until the listener hears that
 * the attempt has ended and the connection is reusable; while it is idle it belongs to the {@link
 * CacheServer}. Its input buffer goes with it; slices of the buffer that a result holds stay valid,
 * as the buffer never overwrites bytes. {@link #close} and {@link #reset} may come from any thread.
 */
final class CacheConnection {
  private static final Logger LOG = Logger.getLogger(CacheConnection.class.getName());
  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final long SHORTEST_CONNECT_TIMEOUT_MILLIS = 1;
  private static final long SHORTEST_DEADLINE_MILLIS = 1;

  /** A server that sends nothing for so long in the middle of a response will not complete it. */
  private static final int RESPONSE_SILENCE_TIMEOUT_MILLIS = 10_000;

  private static final int NO_READ_TIMEOUT = 0;

  /** How a connection stands when its worker thread lets go of it. */
  private enum StateAfterAttempt {
    /** Handed over to the listener, which may have given it to another thread already. */
    IDLE,
    /** Found dead before anything was written. */
    STALE,
    /** Failed while the attempt was out on it. */
    BROKEN
  }

  private final CacheSocket socket;
  private final long connectTimeoutNanos;
  private final Clock clock;
  private final CacheResponseReader responseReader;
  private final CacheConnectionListener listener;
  private final InputBuffer input = new InputBuffer();
  private final RespReader respReader = new RespReader(RespReader.LONGEST_VALUE_BYTES);

  /** Null while idle. */
  private OutboundAttempt attempt;

  private boolean requestWritten;

  /** How the attempt ends if the connection does before all of the request is written. */
  private AttemptOutcome outcomeIfUnwritten;

  CacheConnection(
      InetSocketAddress address,
      CacheServerEnvironment environment,
      CacheConnectionListener listener) {
    this.socket = new CacheSocket(address);
    this.connectTimeoutNanos = environment.connectTimeoutNanos();
    this.clock = environment.clock();
    this.responseReader = environment.responseReader();
    this.listener = listener;
  }

  InetSocketAddress address() {
    return socket.address();
  }

  /**
   * Writes the attempt, connecting first if need be, and reads its response; on a worker thread.
   */
  void carry(OutboundAttempt next) {
    attempt = next;
    requestWritten = false;
    outcomeIfUnwritten = AttemptOutcome.CONNECT_FAILED;
    StateAfterAttempt state = StateAfterAttempt.BROKEN;
    try {
      state = exchange();
    } catch (ProtocolException e) {
      LOG.finer("cache server at " + address() + ": " + e.getMessage());
      listener.unreadableResponse();
    } catch (IOException e) {
      LOG.finer("connection to " + address() + " ended: " + e.getMessage());
    } finally {
      leave(state, next);
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

  /** The last step of the worker thread; an idle connection is another thread's by now. */
  private void leave(StateAfterAttempt state, OutboundAttempt carried) {
    if (state == StateAfterAttempt.IDLE) {
      return;
    }
    close();
    if (state == StateAfterAttempt.STALE) {
      listener.connectionStale(carried);
    } else {
      endBrokenAttempt();
      listener.connectionClosed();
    }
  }

  /**
   * Whether the idle connection can carry a request: the peer has not closed it, and no bytes wait
   * unread, as what came behind a response would be taken for the next one. For the thread that has
   * the connection; never waits for the peer.
   */
  boolean isAlive() {
    int unasked = socket.readWithoutWaiting();
    if (unasked > 0) {
      listener.unreadableResponse();
    }
    return unasked == 0;
  }

  /** Ends the connection in order, and with it whatever is out on it. Any thread, no wait. */
  void close() {
    socket.close();
  }

  /** Gives up what is out by a reset, so that no kernel delivers it later. Any thread, no wait. */
  void reset() {
    socket.reset();
  }

  private void connect() throws IOException {
    long timeoutNanos = Math.min(connectTimeoutNanos, attempt.timesOutAtNanos() - clock.now());
    // What fails before the peer could have a say, for want of a descriptor or a port, is this
    // machine's failure and must not count against the server.
    outcomeIfUnwritten = AttemptOutcome.NOT_SENT;
    socket.open();
    try {
      socket.connect(
          (int) Math.max(SHORTEST_CONNECT_TIMEOUT_MILLIS, timeoutNanos / NANOS_PER_MILLI));
    } catch (ConnectException | NoRouteToHostException | SocketTimeoutException e) {
      outcomeIfUnwritten = AttemptOutcome.CONNECT_FAILED;
      throw e;
    }
    outcomeIfUnwritten = AttemptOutcome.CONNECT_FAILED;
  }

  /**
   * Looks once more whether the request is to be written at all: while it waited for its thread or
   * connection it may have been given up, its client may have gone, or the server may have begun to
   * drain, and then it must not reach the server.
   */
  private void writeRequest() throws IOException {
    long nowNanos = clock.now();
    if (!attempt.isWanted(nowNanos) || !listener.mayWrite()) {
      outcomeIfUnwritten = AttemptOutcome.SUPERSEDED;
      throw new IOException("not wanted any more");
    }
    long deadlineMillis =
        Math.max(
            SHORTEST_DEADLINE_MILLIS, (attempt.timesOutAtNanos() - nowNanos) / NANOS_PER_MILLI);
    Sockets.write(socket.socket().getOutputStream(), attempt.request().encode(deadlineMillis));
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
    }
    return StateAfterAttempt.BROKEN;
  }

  /** Whatever goes wrong, the pipe is ended: its client's connection waits for the rest. */
  private StateAfterAttempt streamResponse(LargeResponseStream large, InputStream from)
      throws IOException, ProtocolException {
    long nowNanos = clock.now();
    BoundedPipe pipe = new BoundedPipe();
    listener.responseBegun(attempt, nowNanos, pipe);
    socket.socket().setSoTimeout(RESPONSE_SILENCE_TIMEOUT_MILLIS);
    try {
      AttemptResult result = large.stream(from, input, responseReader, pipe, nowNanos);
      socket.socket().setSoTimeout(NO_READ_TIMEOUT);
      return endAttempt(result);
    } finally {
      pipe.abort();
    }
  }

  /** Bytes behind a response make it no worse, but end the connection. */
  private StateAfterAttempt endAttempt(AttemptResult result) throws ProtocolException {
    OutboundAttempt ended = attempt;
    attempt = null;
    boolean reusable = input.size() == 0;
    listener.attemptEnded(this, ended, result, reusable);
    if (!reusable) {
      throw new ProtocolException("more behind an answer");
    }
    return StateAfterAttempt.IDLE;
  }

  /** The connection broke: whether its request may have run depends on its last byte. */
  private void endBrokenAttempt() {
    if (attempt == null) {
      return;
    }
    AttemptOutcome outcome = requestWritten ? AttemptOutcome.RESET : outcomeIfUnwritten;
    listener.attemptEnded(this, attempt, AttemptResult.of(outcome, clock.now()), false);
  }
}
