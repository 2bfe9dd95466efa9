package beaconturn.net.server;

import beaconturn.core.AttemptResult;
import beaconturn.core.OutboundAttempt;
import beaconturn.net.io.BoundedPipe;

/**
 * Receives the events of a {@link CacheConnection}, on the thread that has the connection; a call
 * may wait for room in a mailbox.
 */
interface CacheConnectionListener {
  /** Whether an attempt may still be written to the server. Never waits. */
  boolean mayWrite();

  /** A large response has begun at this time and goes on through the pipe. */
  void responseStarted(OutboundAttempt attempt, long atNanos, BoundedPipe pipe);

  /** An attempt has ended; if {@code reusable} the connection is idle and the listener's now. */
  void attemptEnded(
      CacheConnection connection, OutboundAttempt attempt, AttemptResult result, boolean reusable);

  /** The connection was dead before the attempt was written on it, and is closed. */
  void connectionStale(OutboundAttempt attempt);

  /** The last byte of an attempt's request has been written. */
  void requestWritten();

  /** Bytes came that are no response, or came with no request out. */
  void unreadableResponse();

  /** The connection has ended while a worker thread had it. */
  void connectionClosed();
}
