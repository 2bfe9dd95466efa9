package beaconturn.net.client;

import java.util.Comparator;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.locks.LockSupport;
import java.util.function.ToLongFunction;

/** The open connections of clients: how many there may be, and which are closed when. */
public final class ClientConnections {
  private static final long MILLI = 1_000_000;

  /** A client that takes no byte for so long is not coming back for its answer. */
  private static final long LONGEST_WRITE = 10_000 * MILLI;

  /**
   * How long a command may take from its first byte: 2 s, and what the way here and a busy poller
   * add.
   */
  private static final long LONGEST_COMMAND = 2_500 * MILLI;

  /** How long a new client may take to its first byte. */
  private static final long LONGEST_SILENCE = 1_000 * MILLI;

  /** A connection with nothing open is let go after so long: it has a descriptor. */
  private static final long LONGEST_QUIET = 2_100 * MILLI;

  /** The first request of a client that has just connected should arrive before it makes room. */
  private static final long SETTLED = 30 * MILLI;

  /** Clients that write in pieces send the next one sooner. */
  private static final long STALLED = 500 * MILLI;

  /** Where connections run short, one may be let go when it has been quiet for so long. */
  private static final long SHORT_QUIET = 100 * MILLI;

  /**
   * This part of the most, and one, may be over it while those that make room are on their way out.
   */
  private static final int OVER_THE_MOST = 16;

  /** The poller goes round far sooner; beyond this who comes is turned away. */
  private static final int MOST_ROUNDS = 20;

  private final Set<ClientConnection> open = ConcurrentHashMap.newKeySet();
  private volatile int most;
  private volatile int easy;

  private record Quiet(ClientConnection connection, long since) {}

  /** There may be so many, and over {@code easy} those that are quiet are let go sooner. */
  public ClientConnections(int most, int easy) {
    this.most = most;
    this.easy = easy;
  }

  /** Other bounds from here on. */
  public void bounds(int nowMost, int nowEasy) {
    most = nowMost;
    easy = nowEasy;
  }

  public void add(ClientConnection connection) {
    open.add(connection);
  }

  public void remove(ClientConnection connection) {
    open.remove(connection);
  }

  public int count() {
    return open.size();
  }

  /**
   * Makes room for one more; false if all are at work. Those that have sent nothing at all go
   * first, the oldest before others: many that connect and say nothing must not cost the usual
   * clients theirs. Then the one that has been quiet longest, and last one whose command has stood
   * still for a while: a client that writes slowly goes on. Each counts until its descriptor is
   * free, so a few more than the most may be open meanwhile; beyond that the poller is waited for,
   * some milliseconds. Where the most has been lowered, one goes for one that comes.
   */
  public boolean makeRoom(long now) {
    if (open.size() < most) {
      return true;
    }
    Optional<ClientConnection> goes =
        oldest(ClientConnection::silentSince, now - SETTLED)
            .or(() -> oldest(ClientConnection::quietSince, now));
    goes.ifPresent(c -> c.endIfQuiet(EndReason.MAKES_ROOM));
    if (goes.isEmpty()) {
      goes = oldest(ClientConnection::stalledSince, now - STALLED);
      goes.ifPresent(c -> c.endIfQuiet(EndReason.STALLED_COMMAND));
    }
    return goes.isPresent() && fewLeave();
  }

  private boolean fewLeave() {
    for (int i = 0; i < MOST_ROUNDS; i++) {
      if (open.stream().filter(ClientConnection::leaving).count() <= 1 + most / OVER_THE_MOST) {
        return true;
      }
      LockSupport.parkNanos(MILLI);
    }
    return false;
  }

  /**
   * Closes so many of those that are quiet, the longest first. Clients have a bound of their own on
   * the connections that they keep: where each asks once and stays, they reach it before the most
   * here.
   */
  private void letGo(int count, long before) {
    if (count > 0) {
      open.stream()
          .map(c -> new Quiet(c, c.quietSince()))
          .filter(q -> q.since() < before)
          .sorted(Comparator.comparingLong(Quiet::since))
          .limit(count)
          .forEach(q -> q.connection().endIfQuiet(EndReason.MAKES_ROOM));
    }
  }

  private Optional<ClientConnection> oldest(ToLongFunction<ClientConnection> since, long before) {
    return open.stream()
        .filter(c -> since.applyAsLong(c) < before)
        .min(Comparator.comparingLong(since));
  }

  /** Ends the connections as soon as nothing is owed on them; to be called again and again. */
  public void stop() {
    open.forEach(ClientConnection::stop);
  }

  /**
   * Closes the connections whose clients have stopped reading or writing, or do not close their
   * end.
   */
  public void sweep(long now) {
    open.stream()
        .filter(c -> c.writingSince() < now - LONGEST_WRITE)
        .forEach(c -> c.close(EndReason.ANSWER_NOT_TAKEN));
    open.stream()
        .filter(c -> c.closingSince() < now - ClientConnection.LINGER_MILLIS * MILLI)
        .forEach(c -> c.close(EndReason.LINGERED));
    // Not while a request is out: the others on its connection are owed their answers first.
    open.stream()
        .filter(c -> c.halfReadSince() < now - LONGEST_COMMAND)
        .forEach(c -> c.endIfQuiet(EndReason.SLOW_COMMAND));
    open.stream()
        .filter(c -> c.silentSince() < now - LONGEST_SILENCE && c.halfReadSince() == Long.MAX_VALUE)
        .forEach(c -> c.endIfQuiet(EndReason.SILENT));
    open.stream()
        .filter(c -> c.quietSince() < now - LONGEST_QUIET)
        .forEach(c -> c.endIfQuiet(EndReason.IDLE));
    letGo(open.size() - easy, now - SHORT_QUIET);
    open.forEach(ClientConnection::retry);
  }
}
