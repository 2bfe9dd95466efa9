package beaconturn.net.server;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;

/**
 * The idle connections to one cache server, the one used last first. Nobody reads from an idle
 * connection, so whoever closes it also has it counted as closed. For the {@link CacheServerThread}
 * alone.
 */
final class IdleConnections {
  /**
   * A connection is not used again sooner than this after its last response. Otherwise a second,
   * unasked response that comes just behind the first would be taken for that of the next request,
   * and a client would get another key's value. After this time such bytes are there, and the
   * connection is found not to be alive.
   */
  private static final long SETTLE_NANOS = 5_000_000;

  private record IdleCacheConnection(CacheConnection connection, long idleSinceNanos) {}

  private final long idleTimeoutNanos;
  private final Runnable closed;
  private final Deque<IdleCacheConnection> connections = new ArrayDeque<>();

  /** None yet; {@code closed} runs once for each connection that is closed here. */
  IdleConnections(long idleTimeoutNanos, Runnable closed) {
    this.idleTimeoutNanos = idleTimeoutNanos;
    this.closed = closed;
  }

  /** Keeps a connection that has been idle since that time. */
  void add(CacheConnection connection, long idleSinceNanos) {
    connections.push(new IdleCacheConnection(connection, idleSinceNanos));
  }

  /**
   * Removes and returns a settled connection, or null. The one used last goes first, so that those
   * too many grow old and close.
   */
  CacheConnection takeSettled(long nowNanos) {
    long settledBefore = nowNanos - SETTLE_NANOS;
    for (Iterator<IdleCacheConnection> all = connections.iterator(); all.hasNext(); ) {
      IdleCacheConnection next = all.next();
      if (next.idleSinceNanos() <= settledBefore) {
        all.remove();
        return next.connection();
      }
    }
    return null;
  }

  /** Closes the connection that has been idle for longest, if there is one. */
  void closeOldest() {
    if (!connections.isEmpty()) {
      close(connections.pollLast().connection());
    }
  }

  /** Closes what has been idle for longer than the timeout. */
  void closeExpired(long nowNanos) {
    long oldestNanos = nowNanos - idleTimeoutNanos;
    while (!connections.isEmpty() && connections.peekLast().idleSinceNanos() < oldestNanos) {
      close(connections.pollLast().connection());
    }
  }

  /** Closes what the peer has closed, or has sent unasked bytes on. */
  void closeDead() {
    for (Iterator<IdleCacheConnection> all = connections.iterator(); all.hasNext(); ) {
      CacheConnection next = all.next().connection();
      if (!next.isAlive()) {
        all.remove();
        close(next);
      }
    }
  }

  /** Closes all. */
  void closeAll() {
    connections.forEach(idle -> close(idle.connection()));
    connections.clear();
  }

  /** Closes a connection that nobody reads from any more and counts it as closed. */
  void close(CacheConnection connection) {
    connection.close();
    closed.run();
  }
}
