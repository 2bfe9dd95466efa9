package beaconturn.net.server;

import beaconturn.core.Mailbox;
import beaconturn.net.io.Threads;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * The thread on which the actors of all cache servers run their tasks. Actors never block on a
 * peer, so they can share a thread; one thread per server would cost memory and startup time in a
 * fleet of hundreds.
 */
public final class CacheServerThread {
  private static final Logger LOG = Logger.getLogger(CacheServerThread.class.getName());
  private static final int MAILBOX_CAPACITY = 16_384;

  /** Slots that sends leave free for aborts, results and closes, which must not be lost. */
  private static final int RESERVED_CAPACITY = MAILBOX_CAPACITY / 2;

  private static final long MAX_MAINTENANCE_INTERVAL_NANOS = 1_000_000_000;
  private static final long MIN_MAINTENANCE_INTERVAL_NANOS = 10_000_000;
  private static final int MAINTENANCES_PER_IDLE_TIMEOUT = 4;

  private record AddressedTask(CacheServer server, CacheServerTask task) {}

  private final Mailbox<AddressedTask> mailbox = new Mailbox<>(MAILBOX_CAPACITY);
  private final long maintenanceIntervalNanos;

  /** The servers whose actors have not stopped. Confined to this thread. */
  private final Set<CacheServer> servers = new LinkedHashSet<>();

  /** Written by this thread only, read by any thread. */
  private volatile int serverCount;

  /** Creates a thread that runs the actors' maintenance several times per idle timeout. */
  public CacheServerThread(long idleTimeoutNanos) {
    this.maintenanceIntervalNanos =
        Math.max(
            MIN_MAINTENANCE_INTERVAL_NANOS,
            Math.min(
                MAX_MAINTENANCE_INTERVAL_NANOS, idleTimeoutNanos / MAINTENANCES_PER_IDLE_TIMEOUT));
  }

  /** Starts the thread. Called once. */
  public void start() {
    Threads.supervised("cache-servers", this::run);
  }

  /** The number of actors that have not stopped. Any thread. */
  int serverCount() {
    return serverCount;
  }

  /**
   * Posts a task without waiting; false if it would use the slots reserved for tasks that must not
   * be lost. Any thread.
   */
  boolean offerReserving(CacheServer server, CacheServerTask task) {
    return mailbox.offerReserving(RESERVED_CAPACITY, new AddressedTask(server, task));
  }

  /** Posts a task without waiting; logs an error if the mailbox is full. For the routing thread. */
  void postOrDrop(CacheServer server, CacheServerTask task) {
    if (!mailbox.offer(new AddressedTask(server, task))) {
      LOG.severe(server + ": cache server mailbox full, dropped " + task);
    }
  }

  /** Posts a task; blocks while the mailbox is full. For worker threads. */
  void post(CacheServer server, CacheServerTask task) {
    try {
      mailbox.put(new AddressedTask(server, task));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void run() throws InterruptedException {
    long lastMaintenanceNanos = System.nanoTime();
    while (true) {
      long waitNanos = maintenanceIntervalNanos - (System.nanoTime() - lastMaintenanceNanos);
      AddressedTask next = mailbox.poll(Math.max(0, waitNanos));
      if (next != null) {
        handle(next);
      }
      if (System.nanoTime() - lastMaintenanceNanos >= maintenanceIntervalNanos) {
        lastMaintenanceNanos = System.nanoTime();
        servers.forEach(server -> runGuarded(server, server::maintain));
      }
    }
  }

  private void handle(AddressedTask addressed) {
    CacheServer server = addressed.server();
    runGuarded(server, () -> addressed.task().applyTo(server));
    boolean changed = server.hasEnded() ? servers.remove(server) : servers.add(server);
    if (changed) {
      serverCount = servers.size();
    }
  }

  /** Contains a failure in one actor, which must not stop the thread of all. */
  private static void runGuarded(CacheServer server, Runnable step) {
    try {
      step.run();
    } catch (RuntimeException | Error e) {
      LOG.log(Level.SEVERE, server + ": cache server task failed; continuing", e);
    }
  }
}
