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
 * The one thread that reads from all clients, as their bytes come. Most clients' connections are
 * idle at any time: a blocked thread for each is memory, and work each time that a limit on the
 * processor stops and continues the router, whether the client speaks or not.
 */
public final class ClientPoller {
  private static final Logger LOG = Logger.getLogger(ClientPoller.class.getName());
  private static final long NOT_YET = Long.MIN_VALUE;

  /** Between failures of the selector itself: a lasting one must not spin. */
  private static final long FAILURE_PAUSE_NANOS = 10_000_000;

  /** How long the poller waits at the most before it looks at the clock. */
  private static final long MAX_WAIT_MILLIS = 50;

  /**
   * A wait that took so long did not end when it should: the process stood still, or had no
   * processor.
   */
  private static final long PROCESS_STALL_NANOS = 200_000_000;

  private final Selector selector;
  private final Clock clock;
  private final long maxWaitMillis;

  // For any thread.
  private final Queue<ClientConnection> scheduled = new ConcurrentLinkedQueue<>();
  private final Queue<ClientConnection> closed = new ConcurrentLinkedQueue<>();

  // Poller thread only.
  private final List<ClientConnection> releasing = new ArrayList<>();
  private long lookedAtNanos;
  private long arrivedAtNanos;

  /** A poller that has not been started. */
  public ClientPoller(Clock clock) throws IOException {
    this(clock, MAX_WAIT_MILLIS);
  }

  /**
   * A poller that waits for so many milliseconds at the most; 0 is without end, for a clock that
   * jumps.
   */
  public ClientPoller(Clock clock, long maxWaitMillis) throws IOException {
    this.clock = clock;
    this.maxWaitMillis = maxWaitMillis;
    this.selector = Selector.open();
    this.lookedAtNanos = clock.now();
  }

  /** Starts the thread, which runs as long as the process. */
  public void start() {
    Threads.supervised("clients", this::run);
  }

  /**
   * When the kernel was last asked for what has come; what is read now without having been found
   * then came later. Poller thread only.
   */
  long lookedAtNanos() {
    return lookedAtNanos;
  }

  /**
   * Has the connection look, on the poller's thread, at what there is to do. For any thread; never
   * waits.
   */
  void schedule(ClientConnection connection) {
    scheduled.add(connection);
    selector.wakeup();
  }

  /**
   * Tells the connection, just closed, when its descriptor is free: once the selector has gone
   * round. For any thread; never waits.
   */
  void releaseClosed(ClientConnection connection) {
    closed.add(connection);
    selector.wakeup();
  }

  private void run() {
    while (true) {
      try {
        for (ClientConnection c = closed.poll(); c != null; c = closed.poll()) {
          releasing.add(c);
        }
        look();
        releasing.forEach(ClientConnection::released);
        releasing.clear();
        for (ClientConnection c = scheduled.poll(); c != null; c = scheduled.poll()) {
          c.onScheduled(selector);
        }
      } catch (IOException e) {
        LOG.log(Level.SEVERE, "reading from clients failed and goes on", e);
        LockSupport.parkNanos(FAILURE_PAUSE_NANOS);
      }
    }
  }

  /**
   * Asks the kernel once for what has come, and waits for something if nothing has.
   *
   * <p>Guard against a deadline that is passed on too late, which shows as an answer that a client
   * has given up waiting for: what is there at once may have come at any time since the last look,
   * while this thread was busy, so that look's time counts; what has to be waited for comes as the
   * wait ends. A process that was stopped meanwhile cannot tell when what it then finds came: at
   * the earliest when the wait began, and that is what counts.
   */
  private void look() throws IOException {
    arrivedAtNanos = lookedAtNanos;
    lookedAtNanos = clock.now();
    // That look takes a wake-up with it: what was scheduled before it must not be waited for.
    if (selector.selectNow(this::onReady) == 0
        && scheduled.isEmpty()
        && closed.isEmpty()
        && releasing.isEmpty()) {
      arrivedAtNanos = NOT_YET;
      selector.select(this::onReady, maxWaitMillis);
      lookedAtNanos = arrivedAtNanos == NOT_YET ? clock.now() : arrivedAtNanos;
    }
  }

  private void onReady(SelectionKey key) {
    if (arrivedAtNanos == NOT_YET) {
      long now = clock.now();
      boolean stoodStill = now - lookedAtNanos > PROCESS_STALL_NANOS;
      arrivedAtNanos = stoodStill ? lookedAtNanos : now;
    }
    ((ClientConnection) key.attachment()).onReady(key, arrivedAtNanos);
  }
}
