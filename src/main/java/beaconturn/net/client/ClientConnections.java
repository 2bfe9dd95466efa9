package beaconturn.net.client;

import java.util.Comparator;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.locks.LockSupport;
import java.util.function.ToLongFunction;

/**
 * The open connections of clients: how many there may be, and which are ended when. Any thread may
 * call; the listener's makes room, the sweeper's sweeps and stops.
 */
public final class ClientConnections {
  private static final long NANOS_PER_MILLI = 1_000_000;

  /** A client that takes no byte for so long is not coming back for its answer. */
  private static final long WRITE_TIMEOUT_NANOS = 10_000 * NANOS_PER_MILLI;

  /**
   * How long a command may take from its first byte: 2 s, and what the way here and a busy poller
   * add.
   */
  private static final long COMMAND_TIMEOUT_NANOS = 2_500 * NANOS_PER_MILLI;

  /** How long a new client may take to its first byte. */
  private static final long FIRST_BYTE_TIMEOUT_NANOS = 1_000 * NANOS_PER_MILLI;

  /** A connection with nothing open is ended after so long: it has a descriptor. */
  private static final long IDLE_TIMEOUT_NANOS = 2_100 * NANOS_PER_MILLI;

  /** The first request of a client that has just connected should arrive before it makes room. */
  private static final long NEW_CLIENT_GRACE_NANOS = 30 * NANOS_PER_MILLI;

  /** Clients that write in pieces send the next one sooner. */
  private static final long STALLED_COMMAND_NANOS = 500 * NANOS_PER_MILLI;

  /** Where connections run short, one may be ended when it has been idle for so long. */
  private static final long IDLE_TIMEOUT_WHEN_CROWDED_NANOS = 100 * NANOS_PER_MILLI;

  /**
   * One connection, and one in this many of the limit, may be open beyond it while those that make
   * room are on their way out.
   */
  private static final int LEAVING_DIVISOR = 16;

  /**
   * How many times, at a millisecond each, the poller is waited for; it goes round far sooner than
   * that.
   */
  private static final int POLLER_WAIT_ROUNDS = 20;

  private final Set<ClientConnection> connections = ConcurrentHashMap.newKeySet();
  private volatile int limit;
  private volatile int crowdedAbove;

  private record IdleClient(ClientConnection connection, long sinceNanos) {}

  /**
   * No connections yet.
   *
   * @param limit how many there may be
   * @param crowdedAbove above how many those that are idle are ended sooner
   */
  public ClientConnections(int limit, int crowdedAbove) {
    this.limit = limit;
    this.crowdedAbove = crowdedAbove;
  }

  /** Sets other limits from here on; see the constructor. */
  public void setLimits(int newLimit, int newCrowdedAbove) {
    limit = newLimit;
    crowdedAbove = newCrowdedAbove;
  }

  /** Counts a connection that has been accepted. */
  public void add(ClientConnection connection) {
    connections.add(connection);
  }

  /** Forgets a connection whose descriptor is free. */
  public void remove(ClientConnection connection) {
    connections.remove(connection);
  }

  /** How many connections have a descriptor. */
  public int count() {
    return connections.size();
  }

  /**
   * Makes room for one more; false if all are at work. Those that have sent nothing at all go
   * first, the oldest before others: many that connect and say nothing must not cost the usual
   * clients theirs. Then the one that has been idle longest, and last one whose command has stood
   * still for a while: a client that writes slowly goes on. Each counts until its descriptor is
   * free, so a few more than the limit may be open meanwhile; beyond that the poller is waited for,
   * some milliseconds. Where the limit has been lowered, one goes for one that comes.
   */
  public boolean makeRoom(long nowNanos) {
    if (connections.size() < limit) {
      return true;
    }
    return endOneFor(nowNanos) && fewAreLeaving();
  }

  private boolean endOneFor(long nowNanos) {
    Optional<ClientConnection> unused =
        oldest(ClientConnection::silentSinceNanos, nowNanos - NEW_CLIENT_GRACE_NANOS)
            .or(() -> oldest(ClientConnection::idleSinceNanos, nowNanos));
    if (unused.isPresent()) {
      unused.get().endIfQuiet(EndReason.MAKES_ROOM);
      return true;
    }
    Optional<ClientConnection> stalled =
        oldest(ClientConnection::stalledSinceNanos, nowNanos - STALLED_COMMAND_NANOS);
    stalled.ifPresent(c -> c.endIfQuiet(EndReason.STALLED_COMMAND));
    return stalled.isPresent();
  }

  private boolean fewAreLeaving() {
    for (int round = 0; round < POLLER_WAIT_ROUNDS; round++) {
      long leaving = connections.stream().filter(ClientConnection::isLeaving).count();
      if (leaving <= 1 + limit / LEAVING_DIVISOR) {
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

  /** Ends the connections as soon as nothing is owed on them; to be called again and again. */
  public void stop() {
    connections.forEach(ClientConnection::stop);
  }

  /**
   * Ends the connections whose clients have stopped reading or writing, do not close their end, or
   * have been idle for too long, and has those that wait for room look again. To be called again
   * and again.
   */
  public void sweep(long nowNanos) {
    closeUnresponsive(nowNanos);
    endSlowAndIdle(nowNanos);
    endLongestIdle(connections.size() - crowdedAbove, nowNanos - IDLE_TIMEOUT_WHEN_CROWDED_NANOS);
    connections.forEach(ClientConnection::retryWaiting);
  }

  private void closeUnresponsive(long nowNanos) {
    connections.stream()
        .filter(c -> c.writingSinceNanos() < nowNanos - WRITE_TIMEOUT_NANOS)
        .forEach(c -> c.close(EndReason.ANSWER_NOT_TAKEN));
    connections.stream()
        .filter(c -> c.outputEndedAtNanos() < nowNanos - ClientConnection.LINGER_NANOS)
        .forEach(c -> c.close(EndReason.LINGERED));
  }

  /**
   * Proposes an end for connections that are idle, silent or slow with a command. None of them ends
   * while a request is out: the other answers on it are owed first.
   */
  private void endSlowAndIdle(long nowNanos) {
    connections.stream()
        .filter(c -> c.partialCommandSinceNanos() < nowNanos - COMMAND_TIMEOUT_NANOS)
        .forEach(c -> c.endIfQuiet(EndReason.SLOW_COMMAND));
    connections.stream()
        .filter(c -> c.silentSinceNanos() < nowNanos - FIRST_BYTE_TIMEOUT_NANOS)
        .filter(c -> c.partialCommandSinceNanos() == Long.MAX_VALUE)
        .forEach(c -> c.endIfQuiet(EndReason.SILENT));
    connections.stream()
        .filter(c -> c.idleSinceNanos() < nowNanos - IDLE_TIMEOUT_NANOS)
        .forEach(c -> c.endIfQuiet(EndReason.IDLE));
  }

  /**
   * Ends so many of those that are idle, the longest first. Clients have a limit of their own on
   * the connections that they keep: where each asks once and stays, they reach it before the limit
   * here.
   */
  private void endLongestIdle(int count, long beforeNanos) {
    if (count > 0) {
      connections.stream()
          .map(c -> new IdleClient(c, c.idleSinceNanos()))
          .filter(idle -> idle.sinceNanos() < beforeNanos)
          .sorted(Comparator.comparingLong(IdleClient::sinceNanos))
          .limit(count)
          .forEach(idle -> idle.connection().endIfQuiet(EndReason.MAKES_ROOM));
    }
  }
}
