package beaconturn.net;

import beaconturn.core.Lifecycle;
import beaconturn.decision.WarmStartState;
import beaconturn.net.client.ClientConnections;
import beaconturn.net.io.ConnectionLimit;

/**
 * How this process of a router gets along with another one that serves on the same listening socket
 * during an upgrade: they keep to the router's limits together, and the one that ends leaves what
 * it has learned to the next.
 *
 * <p>{@link #update} is for the maintenance thread, {@link #learned} for the routing thread, {@link
 * #warmStart} for the thread that starts the router; the rest is for any thread.
 */
final class ProcessHandover {
  private final RouterConfig config;

  /** Null where no other process of this router can run beside this one. */
  private final PeerProcess peer;

  /** Written by the maintenance thread alone. */
  private volatile boolean peerRunning;

  /** What the router has learned since the last update; null if nothing was noted. */
  private volatile WarmStartState learned;

  ProcessHandover(RouterConfig config) {
    this.config = config;
    this.peer = config.sharesListener() ? new PeerProcess(config) : null;
    this.peerRunning = peer != null && peer.isRunning();
  }

  /** Whether another process of this router runs beside this one, as of the last update. */
  boolean isPeerRunning() {
    return peerRunning;
  }

  /** How many connections this process may hold: half of the descriptors beside another one. */
  ConnectionBudget budget() {
    int processes = peerRunning ? 2 : 1;
    return ConnectionBudget.of(config.sockets() / processes, config.memoryMb());
  }

  /** Notes what the routing engine has learned, to be left to the next process. */
  void learned(WarmStartState state) {
    learned = state;
  }

  /** What another process has left for this one, or null. */
  WarmStartState warmStart() {
    return peer == null ? null : peer.warmStart();
  }

  /** Looks for the other process and keeps to this one's part of the limits. */
  void update(ClientConnections clients, ConnectionLimit cacheConnections, Lifecycle lifecycle) {
    if (peer == null) {
      return;
    }
    peerRunning = peer.isRunning();
    ConnectionBudget budget = budget();
    clients.setLimits(budget.clients(), budget.clientsBeforeReclaim());
    cacheConnections.setLimit(budget.cacheConnections());
    WarmStartState latest = learned;
    learned = null;
    if (peerRunning && latest != null && lifecycle.phase() == Lifecycle.Phase.SERVING) {
      peer.leave(latest);
    }
  }
}
