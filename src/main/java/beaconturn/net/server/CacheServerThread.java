package beaconturn.net.server;

import beaconturn.core.Mailbox;
import beaconturn.net.io.Threads;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * The one thread on which the actors of all cache servers take turns, task by task: none of them
 * ever waits for a peer, and a thread for each of some hundred cache servers would cost a router
 * that sees little traffic more memory and a longer start than all that it serves.
 */
public final class CacheServerThread {
  private static final Logger LOG = Logger.getLogger(CacheServerThread.class.getName());
  private static final int MAILBOX_CAPACITY = 16_384;

  /** Places that sends leave free, for what must not be lost: aborts, ends and closes. */
  private static final int RESERVED_CAPACITY = MAILBOX_CAPACITY / 2;

  private static final long LONGEST_MAINTENANCE_INTERVAL_NANOS = 1_000_000_000;
  private static final long SHORTEST_MAINTENANCE_INTERVAL_NANOS = 10_000_000;
  private static final int MAINTENANCES_PER_IDLE_TIMEOUT = 4;

  private record AddressedTask(CacheServer server, CacheServerTask task) {}

  private final Mailbox<AddressedTask> mailbox = new Mailbox<>(MAILBOX_CAPACITY);
  private final long maintenanceIntervalNanos;

  /** The servers whose actors have not ended; for this thread alone. */
  private final Set<CacheServer> servers = new LinkedHashSet<>();

  /** Written by this thread alone. */
  private volatile int serverCount;

  /**
   * A thread that looks after all actors several times in the time that a connection may stay idle.
   */
  public CacheServerThread(long idleTimeoutNanos) {
    this.maintenanceIntervalNanos =
        Math.max(
            SHORTEST_MAINTENANCE_INTERVAL_NANOS,
            Math.min(
                LONGEST_MAINTENANCE_INTERVAL_NANOS,
                idleTimeoutNanos / MAINTENANCES_PER_IDLE_TIMEOUT));
  }

  /** Starts the thread; called once. */
  public void start() {
    Threads.supervised("cache-servers", this::run);
  }

  /** How many cache servers have an actor; any thread. */
  int serverCount() {
    return serverCount;
  }

  /**
   * Posts without waiting; false if that would leave no room for what must not be lost. Any thread.
   */
  boolean offerReserving(CacheServer server, CacheServerTask task) {
    return mailbox.offerReserving(RESERVED_CAPACITY, new AddressedTask(server, task));
  }

  /** Posts without waiting: for the routing thread. */
  void tell(CacheServer server, CacheServerTask task) {
    if (!mailbox.offer(new AddressedTask(server, task))) {
      LOG.severe(server + ": mailbox full, lost " + task);
    }
  }

  /** Posts, waiting for room: for the worker threads. */
  void post(CacheServer server, CacheServerTask task) {
    try {
      mailbox.put(new AddressedTask(server, task));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void run() throws InterruptedException {
    long maintainedAtNanos = System.nanoTime();
    while (true) {
      long waitNanos = maintenanceIntervalNanos - (System.nanoTime() - maintainedAtNanos);
      AddressedTask next = mailbox.poll(Math.max(0, waitNanos));
      if (next != null) {
        handle(next);
      }
      if (System.nanoTime() - maintainedAtNanos >= maintenanceIntervalNanos) {
        maintainedAtNanos = System.nanoTime();
        servers.forEach(server -> guarded(server, server::maintain));
      }
    }
  }

  private void handle(AddressedTask addressed) {
    CacheServer server = addressed.server();
    guarded(server, () -> addressed.task().applyTo(server));
    boolean changed = server.hasEnded() ? servers.remove(server) : servers.add(server);
    if (changed) {
      serverCount = servers.size();
    }
  }

  /** A defect that shows at one cache server must not end the thread of all. */
  private static void guarded(CacheServer server, Runnable step) {
    try {
      step.run();
    } catch (RuntimeException | Error e) {
      LOG.log(Level.SEVERE, server + ": actor failed on a message and goes on", e);
    }
  }
}
