package beaconturn.net.client;

import java.util.Comparator;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.locks.LockSupport;
import java.util.function.ToLongFunction;

/**
 * Tracks the open client connections, enforces their limit and closes idle and slow ones. Methods
 * may be called by any thread; the listener thread calls {@link #makeRoom}, the sweeper thread
 * {@link #sweep}, and the thread that runs a graceful shutdown {@link #drain} and {@link #sweep}.
 */
public final class ClientConnections {
  private static final long NANOS_PER_MILLI = 1_000_000;

  /**
   * Time without progress after which writing a response is abandoned; a client that accepts no
   * byte for so long does not return for its response.
   */
  private static final long WRITE_TIMEOUT_NANOS = 10_000 * NANOS_PER_MILLI;

  /**
   * Time for a command to arrive completely from its first byte: 2 s plus network and poller delay.
   */
  private static final long COMMAND_TIMEOUT_NANOS = 2_500 * NANOS_PER_MILLI;

  /** Time for a new client to send its first byte. */
  private static final long FIRST_BYTE_TIMEOUT_NANOS = 1_000 * NANOS_PER_MILLI;

  /** Idle time after which a connection is closed to free its descriptor. */
  private static final long IDLE_TIMEOUT_NANOS = 2_100 * NANOS_PER_MILLI;

  /** Time for a new client to send its first request before the connection may be evicted. */
  private static final long NEW_CLIENT_GRACE_NANOS = 30 * NANOS_PER_MILLI;

  /**
   * Time without progress after which a partial command no longer protects its connection from
   * eviction.
   */
  private static final long STALLED_COMMAND_TIMEOUT_NANOS = 500 * NANOS_PER_MILLI;

  /** Idle time after which a connection above the soft limit is closed. */
  private static final long IDLE_TIMEOUT_ABOVE_SOFT_LIMIT_NANOS = 100 * NANOS_PER_MILLI;

  /**
   * While evicted connections close, 1 + limit / this divisor connections may be open beyond the
   * limit.
   */
  private static final int CLOSING_EXCESS_DIVISOR = 16;

  /**
   * Number of waits, of a millisecond each, for the poller to close evicted connections; a round of
   * the poller takes far less.
   */
  private static final int MAX_POLLER_WAITS = 20;

  private final Set<ClientConnection> connections = ConcurrentHashMap.newKeySet();
  private volatile int limit;
  private volatile int softLimit;

  private record IdleClient(ClientConnection connection, long sinceNanos) {}

  /**
   * Creates an empty set of connections.
   *
   * @param limit maximum number of open connections
   * @param softLimit number of connections above which idle ones are closed sooner
   */
  public ClientConnections(int limit, int softLimit) {
    this.limit = limit;
    this.softLimit = softLimit;
  }

  /** Replaces the limits; see the constructor. */
  public void setLimits(int newLimit, int newSoftLimit) {
    limit = newLimit;
    softLimit = newSoftLimit;
  }

  /** Adds an accepted connection. */
  public void add(ClientConnection connection) {
    connections.add(connection);
  }

  /** Removes a connection whose descriptor is free. */
  public void remove(ClientConnection connection) {
    connections.remove(connection);
  }

  /** Returns the number of connections that hold a descriptor. */
  public int count() {
    return connections.size();
  }

  /**
   * Makes room for one more connection by evicting another if the limit is reached; false if all
   * are in use. Connections that have sent nothing are evicted first, the oldest before others, so
   * that clients that only connect do not displace active ones; then the connection that has been
   * idle longest; then one with a stalled partial command. Each counts until its descriptor is
   * free, so the limit may be exceeded slightly; beyond that the call waits some milliseconds for
   * the poller. After the limit has been lowered, each new connection replaces an open one.
   */
  public boolean makeRoom(long nowNanos) {
    if (connections.size() < limit) {
      return true;
    }
    return evictOne(nowNanos) && awaitClosing();
  }

  private boolean evictOne(long nowNanos) {
    Optional<ClientConnection> unused =
        oldest(ClientConnection::awaitingFirstByteSinceNanos, nowNanos - NEW_CLIENT_GRACE_NANOS)
            .or(() -> oldest(ClientConnection::idleSinceNanos, nowNanos));
    if (unused.isPresent()) {
      unused.get().proposeClose(CloseReason.EVICTED);
      return true;
    }
    Optional<ClientConnection> stalled =
        oldest(ClientConnection::stalledSinceNanos, nowNanos - STALLED_COMMAND_TIMEOUT_NANOS);
    stalled.ifPresent(c -> c.proposeClose(CloseReason.STALLED_COMMAND));
    return stalled.isPresent();
  }

  private boolean awaitClosing() {
    for (int round = 0; round < MAX_POLLER_WAITS; round++) {
      long closing = connections.stream().filter(ClientConnection::isCloseProposedOrClosed).count();
      if (closing <= 1 + limit / CLOSING_EXCESS_DIVISOR) {
        return true;
      }
      LockSupport.parkNanos(NANOS_PER_MILLI);
    }
    return false;
  }

  private Optional<ClientConnection> oldest(
      ToLongFunction<ClientConnection> sinceNanos, long beforeNanos) {
    return connections.stream()
        .filter(c -> sinceNanos.applyAsLong(c) < beforeNanos)
        .min(Comparator.comparingLong(sinceNanos));
  }

  /** Drains all connections for a graceful shutdown; called repeatedly until none is open. */
  public void drain() {
    connections.forEach(ClientConnection::drain);
  }

  /**
   * Closes connections whose clients have stopped reading or writing, do not close their side, or
   * have been idle too long, and reschedules those that wait. Called periodically.
   */
  public void sweep(long nowNanos) {
    closeUnresponsive(nowNanos);
    closeSlowAndIdle(nowNanos);
    evictLongestIdle(
        connections.size() - softLimit, nowNanos - IDLE_TIMEOUT_ABOVE_SOFT_LIMIT_NANOS);
    connections.forEach(ClientConnection::rescheduleIfWaiting);
  }

  private void closeUnresponsive(long nowNanos) {
    connections.forEach(c -> c.checkWriteProgress(nowNanos));
    connections.stream()
        .filter(c -> c.writingSinceNanos() < nowNanos - WRITE_TIMEOUT_NANOS)
        .forEach(c -> c.close(CloseReason.WRITE_TIMEOUT));
    connections.stream()
        .filter(c -> c.outputShutdownAtNanos() < nowNanos - ClientConnection.LINGER_NANOS)
        .forEach(c -> c.close(CloseReason.LINGER_TIMEOUT));
  }

  /**
   * Proposes to close connections that are idle, have sent nothing, or are slow with a command.
   * None of them closes while a response is outstanding.
   */
  private void closeSlowAndIdle(long nowNanos) {
    connections.stream()
        .filter(c -> c.partialCommandSinceNanos() < nowNanos - COMMAND_TIMEOUT_NANOS)
        .forEach(c -> c.proposeClose(CloseReason.COMMAND_TIMEOUT));
    connections.stream()
        .filter(c -> c.awaitingFirstByteSinceNanos() < nowNanos - FIRST_BYTE_TIMEOUT_NANOS)
        .filter(c -> c.partialCommandSinceNanos() == Long.MAX_VALUE)
        .forEach(c -> c.proposeClose(CloseReason.FIRST_BYTE_TIMEOUT));
    connections.stream()
        .filter(c -> c.idleSinceNanos() < nowNanos - IDLE_TIMEOUT_NANOS)
        .forEach(c -> c.proposeClose(CloseReason.IDLE_TIMEOUT));
  }

  /**
   * Proposes to close the given number of idle connections, the longest idle first. Clients limit
   * the connections that they keep open; idle ones that stay open would use up that limit before
   * the limit here is reached.
   */
  private void evictLongestIdle(int count, long beforeNanos) {
    if (count > 0) {
      connections.stream()
          .map(c -> new IdleClient(c, c.idleSinceNanos()))
          .filter(idle -> idle.sinceNanos() < beforeNanos)
          .sorted(Comparator.comparingLong(IdleClient::sinceNanos))
          .limit(count)
          .forEach(idle -> idle.connection().proposeClose(CloseReason.EVICTED));
    }
  }
}
