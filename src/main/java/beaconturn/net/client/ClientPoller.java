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
  private static final long NOT_YET = Long.MIN_VALUE;
  private static final Logger LOG = Logger.getLogger(ClientPoller.class.getName());

  /** Between failures of the selector itself: a lasting one must not spin. */
  private static final long PAUSE_NANOS = 10_000_000;

  /** How long the poller waits at the most before it looks at the clock. */
  private static final long LONGEST_WAIT_MILLIS = 50;

  /**
   * A wait that took so long did not end when it should: the process stood still, or had no
   * processor.
   */
  private static final long STOOD_STILL = 200_000_000;

  private final Selector selector;
  private final Clock clock;
  private final long longestWaitMillis;
  private final Queue<ClientConnection> called = new ConcurrentLinkedQueue<>();
  private final Queue<ClientConnection> closed = new ConcurrentLinkedQueue<>();

  // For the poller's thread:
  private final List<ClientConnection> freed = new ArrayList<>();
  private long lookedAt;
  private long arrivedAt;

  public ClientPoller(Clock clock) throws IOException {
    this(clock, LONGEST_WAIT_MILLIS);
  }

  /**
   * A poller that waits for so many milliseconds at the most; 0 is without end, for a clock that
   * jumps.
   */
  public ClientPoller(Clock clock, long longestWaitMillis) throws IOException {
    this.clock = clock;
    this.longestWaitMillis = longestWaitMillis;
    this.selector = Selector.open();
    this.lookedAt = clock.now();
  }

  public void start() {
    Threads.supervised("clients", this::run);
  }

  /**
   * When the kernel was last asked for what has come; what is read now without having been found
   * then came later. For the poller's thread.
   */
  long lookedAt() {
    return lookedAt;
  }

  /** Has the connection look, on the poller's thread, at what there is to do; never waits. */
  void call(ClientConnection connection) {
    called.add(connection);
    selector.wakeup();
  }

  /**
   * Tells the connection, just closed, when its descriptor is free: once the selector has gone
   * round.
   */
  void closed(ClientConnection connection) {
    closed.add(connection);
    selector.wakeup();
  }

  private void run() {
    while (true) {
      try {
        for (ClientConnection c = closed.poll(); c != null; c = closed.poll()) {
          freed.add(c);
        }
        look();
        freed.forEach(ClientConnection::freed);
        freed.clear();
        for (ClientConnection c = called.poll(); c != null; c = called.poll()) {
          c.proceed(selector);
        }
      } catch (IOException e) {
        LOG.log(Level.SEVERE, "reading from clients failed and goes on", e);
        LockSupport.parkNanos(PAUSE_NANOS);
      }
    }
  }

  /**
   * What is there at once may have come at any time since the last look, while this thread was
   * busy; what has to be waited for comes as the wait ends. A process that was stopped meanwhile
   * cannot tell when what it then finds came: at the earliest when the wait began, and that is what
   * counts.
   */
  private void look() throws IOException {
    arrivedAt = lookedAt;
    lookedAt = clock.now();
    // That look takes a wake-up with it: what was called for before it must not be waited for.
    if (selector.selectNow(this::ready) == 0
        && called.isEmpty()
        && closed.isEmpty()
        && freed.isEmpty()) {
      arrivedAt = NOT_YET;
      selector.select(this::ready, longestWaitMillis);
      lookedAt = arrivedAt == NOT_YET ? clock.now() : arrivedAt;
    }
  }

  private void ready(SelectionKey key) {
    if (arrivedAt == NOT_YET) {
      long now = clock.now();
      arrivedAt = now - lookedAt > STOOD_STILL ? lookedAt : now;
    }
    ((ClientConnection) key.attachment()).ready(key, arrivedAt);
  }
}
