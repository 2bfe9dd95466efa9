package beaconturn.net.server;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;

/**
 * The idle connections to one cache server, most recently used first. No thread reads from an idle
 * connection, so closing one here also reports it as closed. Confined to the {@link
 * CacheServerThread}.
 */
final class IdleConnections {
  /**
   * How long a connection is not reused after the last byte of a response. A duplicate response
   * that arrives some milliseconds after the first would otherwise be taken for the response to the
   * next request, and its client would get the value of another key. Bytes that arrive within this
   * time are detected as unexpected, as the next request is written only if there are none.
   */
  private static final long SETTLE_NANOS = 25_000_000;

  private record IdleCacheConnection(CacheConnection connection, long idleSinceNanos) {}

  private final long idleTimeoutNanos;
  private final Runnable onClosed;
  private final Deque<IdleCacheConnection> connections = new ArrayDeque<>();

  /** Creates an empty collection; {@code onClosed} runs once for each connection closed here. */
  IdleConnections(long idleTimeoutNanos, Runnable onClosed) {
    this.idleTimeoutNanos = idleTimeoutNanos;
    this.onClosed = onClosed;
  }

  /** Adds a connection that has been idle since that time. */
  void add(CacheConnection connection, long idleSinceNanos) {
    connections.push(new IdleCacheConnection(connection, idleSinceNanos));
  }

  /**
   * Removes and returns the most recently used settled connection, so that surplus connections
   * reach their idle timeout; null if there is none.
   */
  CacheConnection takeSettled(long nowNanos) {
    long settledBeforeNanos = nowNanos - SETTLE_NANOS;
    for (Iterator<IdleCacheConnection> all = connections.iterator(); all.hasNext(); ) {
      IdleCacheConnection next = all.next();
      if (next.idleSinceNanos() <= settledBeforeNanos) {
        all.remove();
        return next.connection();
      }
    }
    return null;
  }

  /** Closes the connection that has been idle longest, if any. */
  void closeOldest() {
    if (!connections.isEmpty()) {
      close(connections.pollLast().connection());
    }
  }

  /** Closes the connections that have been idle longer than the timeout. */
  void closeExpired(long nowNanos) {
    long oldestNanos = nowNanos - idleTimeoutNanos;
    while (!connections.isEmpty() && connections.peekLast().idleSinceNanos() < oldestNanos) {
      close(connections.pollLast().connection());
    }
  }

  /** Closes the connections that the peer has closed or sent unexpected bytes on. */
  void closeDead() {
    for (Iterator<IdleCacheConnection> all = connections.iterator(); all.hasNext(); ) {
      CacheConnection next = all.next().connection();
      if (!next.isAlive()) {
        all.remove();
        close(next);
      }
    }
  }

  void closeAll() {
    connections.forEach(idle -> close(idle.connection()));
    connections.clear();
  }

  /** Closes an idle connection and reports it as closed. */
  void close(CacheConnection connection) {
    connection.close();
    onClosed.run();
  }
}
