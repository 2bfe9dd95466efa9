package beaconturn.net.server;

import beaconturn.core.AttemptResult;
import beaconturn.core.OutboundAttempt;
import beaconturn.net.io.BoundedPipe;

/**
 * Receives the events of a {@link CacheConnection}, on the thread that owns the connection. Calls
 * may block while a mailbox is full.
 */
interface CacheConnectionListener {
  /** Whether an attempt may still be written to the server. Never blocks. */
  boolean mayWrite();

  /** A large response started at this time and is streamed through the pipe. */
  void responseStarted(OutboundAttempt attempt, long atNanos, BoundedPipe pipe);

  /** An attempt ended; a {@code reusable} connection is idle and owned by the listener now. */
  void attemptEnded(
      CacheConnection connection, OutboundAttempt attempt, AttemptResult result, boolean reusable);

  /** The connection was dead before the attempt was written, and is closed. */
  void connectionStale(OutboundAttempt attempt);

  /** An attempt's request was completely written. */
  void requestWritten();

  /** A malformed response was received, or bytes while no request was in flight. */
  void malformedResponse();

  /** The connection was closed while a worker thread owned it. */
  void connectionClosed();
}
