package beaconturn.net.server;

import beaconturn.core.Mailbox;
import beaconturn.net.io.Threads;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * The one thread on which the actors of all cache servers take turns, message by message: none of
 * them ever waits for a peer, and a thread for each of some hundred cache servers would cost a
 * router that sees little traffic more memory and a longer start than all that it serves.
 */
public final class CacheServerThread {
  private static final Logger LOG = Logger.getLogger(CacheServerThread.class.getName());
  private static final int MOST_MESSAGES = 16_384;
  private static final long LONGEST_WAIT = 1_000_000_000;
  private static final long SHORTEST_WAIT = 10_000_000;

  private record Turn(CacheServer server, CacheServer.Task task) {}

  private final Mailbox<Turn> mailbox = new Mailbox<>(MOST_MESSAGES);
  private final long step;

  /** Those whose actors have not ended; for the thread of the actors. */
  private final Set<CacheServer> servers = new LinkedHashSet<>();

  private volatile int count;

  /**
   * Looks after all actors several times in the time that a connection may stay idle, in
   * nanoseconds.
   */
  public CacheServerThread(long idleTime) {
    this.step = Math.max(SHORTEST_WAIT, Math.min(LONGEST_WAIT, idleTime / 4));
  }

  public void start() {
    Threads.supervised("cache-servers", this::run);
  }

  /** How many cache servers have an actor. */
  int count() {
    return count;
  }

  /**
   * Never waits. Half of the mailbox is kept for what must not be lost; false if there is no room.
   */
  boolean send(CacheServer server, CacheServer.Task task) {
    return mailbox.offerLeaving(MOST_MESSAGES / 2, new Turn(server, task));
  }

  /** Never waits: the module's thread calls it. */
  void tell(CacheServer server, CacheServer.Task task) {
    if (!mailbox.offer(new Turn(server, task))) {
      LOG.severe(server + ": mailbox full, lost " + task);
    }
  }

  /** Waits for room: for the threads of connections. */
  void post(CacheServer server, CacheServer.Task task) {
    try {
      mailbox.put(new Turn(server, task));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void run() throws InterruptedException {
    long lookedAt = System.nanoTime();
    while (true) {
      Turn turn = mailbox.poll(Math.max(0, step - (System.nanoTime() - lookedAt)));
      if (turn != null) {
        take(turn);
      }
      if (System.nanoTime() - lookedAt >= step) {
        lookedAt = System.nanoTime();
        servers.forEach(s -> guarded(s, s::look));
      }
    }
  }

  private void take(Turn turn) {
    guarded(turn.server(), () -> turn.server().handle(turn.task()));
    if (turn.server().ended() ? servers.remove(turn.server()) : servers.add(turn.server())) {
      count = servers.size();
    }
  }

  private static void guarded(CacheServer server, Runnable step) {
    try {
      step.run();
    } catch (RuntimeException | Error e) {
      LOG.log(Level.SEVERE, server + ": actor failed on a message and goes on", e);
    }
  }
}
