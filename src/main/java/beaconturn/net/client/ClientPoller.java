package beaconturn.net.client;

import beaconturn.core.Clock;
import beaconturn.net.io.Threads;
import java.io.IOException;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.locks.LockSupport;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * Reads from all client connections on one thread, as their bytes arrive. Most connections are idle
 * at any time, and a blocked thread for each would cost memory and scheduling work.
 */
public final class ClientPoller {
  private static final Logger LOG = Logger.getLogger(ClientPoller.class.getName());
  private static final long UNKNOWN = Long.MIN_VALUE;

  /** Pause after a selector failure, so that a persistent failure does not spin. */
  private static final long FAILURE_PAUSE_NANOS = 10_000_000;

  /** Maximum wait for events before the clock is read again. */
  private static final long MAX_WAIT_MILLIS = 50;

  /** Maximum wait while input of a connection is left unread. */
  private static final long BACKLOG_WAIT_MILLIS = BacklogReader.INTERVAL_NANOS / 1_000_000;

  /** A wait longer than this means that the process was stopped or starved of CPU. */
  private static final long PROCESS_STALL_NANOS = 200_000_000;

  /** Time for the listener to accept what was queued while the process was stopped. */
  private static final long ACCEPT_DELAY_NANOS = 100_000_000;

  private final Selector selector;
  private final Clock clock;
  private final long maxWaitMillis;
  private final PollerTurns turns;

  // Used by any thread.
  private final Queue<ClientConnection> scheduled = new ConcurrentLinkedQueue<>();
  private final Queue<ClientConnection> closed = new ConcurrentLinkedQueue<>();

  // Poller thread only.
  private final List<ClientConnection> releasing = new ArrayList<>();
  private final BacklogReader backlogs = new BacklogReader();
  private final SharedCommandRate commandRate = new SharedCommandRate();
  private long lastSelectAtNanos;
  private long arrivedAtNanos;
  private long lastTurnAtNanos;

  /** When the process was last stopped or starved, and when it went on; or {@link #UNKNOWN}. */
  private long stalledAtNanos = UNKNOWN;

  private long resumedAtNanos = UNKNOWN;

  /** Creates a poller; {@link #start} starts its thread. */
  public ClientPoller(Clock clock) throws IOException {
    this(clock, MAX_WAIT_MILLIS);
  }

  /**
   * Creates a poller that waits at most the given time for events; 0 waits without limit, for tests
   * whose clock jumps.
   */
  public ClientPoller(Clock clock, long maxWaitMillis) throws IOException {
    this.clock = clock;
    this.maxWaitMillis = maxWaitMillis;
    this.selector = Selector.open();
    this.lastSelectAtNanos = clock.now();
    this.turns = new PollerTurns(selector::wakeup, clock.now());
  }

  /** Starts the poller thread, which runs as long as the process. */
  public void start() {
    Threads.supervised("clients", this::run);
  }

  /**
   * When the selector was last polled. Bytes that were not reported then arrived later. Poller
   * thread only.
   */
  long lastSelectAtNanos() {
    return lastSelectAtNanos;
  }

  /**
   * Schedules a call of {@link ClientConnection#onScheduled} on the poller thread. For any thread;
   * never blocks.
   */
  void schedule(ClientConnection connection) {
    scheduled.add(connection);
    selector.wakeup();
  }

  /**
   * Reports a closed connection's descriptor as free after the next selection. For any thread;
   * never blocks.
   */
  void releaseClosed(ClientConnection connection) {
    closed.add(connection);
    selector.wakeup();
  }

  /**
   * Waits for a turn of the poller if it has not had one for some time, as after the process was
   * stopped; false if there is none in time. Not for the poller thread.
   */
  boolean awaitTurnIfStalled() {
    return turns.awaitTurnIfStalled(clock.now());
  }

  /** The rate of the commands of all connections. To be used on the poller thread only. */
  SharedCommandRate commandRate() {
    return commandRate;
  }

  /** Reads on for a connection whose input was left unread, until it is read to its end. */
  void watchBacklog(ClientConnection connection) {
    backlogs.add(connection);
  }

  private void run() {
    while (true) {
      try {
        for (ClientConnection c = closed.poll(); c != null; c = closed.poll()) {
          releasing.add(c);
        }
        long startedAtNanos = clock.now();
        lastTurnAtNanos = startedAtNanos;
        pollOnce();
        detectStall(startedAtNanos, clock.now());
        releasing.forEach(ClientConnection::onReleased);
        releasing.clear();
        for (ClientConnection c = scheduled.poll(); c != null; c = scheduled.poll()) {
          c.onScheduled(selector);
        }
        backlogs.readIfDue(clock.now());
        turns.turnEnded(startedAtNanos);
      } catch (IOException e) {
        LOG.log(Level.SEVERE, "client poller failed to select; reading from clients continues", e);
        LockSupport.parkNanos(FAILURE_PAUSE_NANOS);
      }
    }
  }

  /**
   * Polls the selector once, and waits for events if there are none.
   *
   * <p>Determines when readable bytes arrived, as a client's deadline counts from their arrival.
   * Bytes that are ready at once may have arrived at any time since the last poll while this thread
   * was busy, so the time of that poll counts. Bytes that end a wait arrived as the wait ended.
   * After a wait during which the process was stopped, the start of the wait counts.
   */
  private void pollOnce() throws IOException {
    arrivedAtNanos = lastSelectAtNanos;
    lastSelectAtNanos = clock.now();
    // selectNow consumes a wake-up, so work scheduled before it must be checked for here.
    if (selector.selectNow(this::onReady) == 0
        && scheduled.isEmpty()
        && closed.isEmpty()
        && releasing.isEmpty()) {
      arrivedAtNanos = UNKNOWN;
      selector.select(this::onReady, backlogs.isEmpty() ? maxWaitMillis : BACKLOG_WAIT_MILLIS);
      lastSelectAtNanos = arrivedAtNanos == UNKNOWN ? clock.now() : arrivedAtNanos;
    }
  }

  private void detectStall(long startedAtNanos, long nowNanos) {
    if (nowNanos - startedAtNanos > PROCESS_STALL_NANOS) {
      stalledAtNanos = startedAtNanos;
      resumedAtNanos = nowNanos;
    }
  }

  /**
   * The earliest time at which the first bytes of a connection can have arrived: the kernel accepts
   * connections and their input while the process is stopped.
   */
  private long firstArrivalNanos(ClientConnection connection) {
    boolean stalling = clock.now() - lastTurnAtNanos > PROCESS_STALL_NANOS;
    if (stalling) {
      return Math.min(arrivedAtNanos, lastTurnAtNanos);
    }
    boolean acceptedAfterStall =
        stalledAtNanos != UNKNOWN
            && connection.openedAtNanos() > stalledAtNanos
            && connection.openedAtNanos() < resumedAtNanos + ACCEPT_DELAY_NANOS;
    return acceptedAfterStall ? Math.min(arrivedAtNanos, stalledAtNanos) : arrivedAtNanos;
  }

  private void onReady(SelectionKey key) {
    if (arrivedAtNanos == UNKNOWN) {
      long now = clock.now();
      boolean processStalled = now - lastSelectAtNanos > PROCESS_STALL_NANOS;
      arrivedAtNanos = processStalled ? lastSelectAtNanos : now;
    }
    ClientConnection connection = (ClientConnection) key.attachment();
    connection.onReady(key, connection.hasSent() ? arrivedAtNanos : firstArrivalNanos(connection));
  }
}
