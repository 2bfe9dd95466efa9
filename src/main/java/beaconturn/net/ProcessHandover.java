package beaconturn.net;

import beaconturn.core.Lifecycle;
import beaconturn.decision.WarmStartState;
import beaconturn.net.client.ClientConnections;
import beaconturn.net.client.ExecutedRequestIds;
import beaconturn.net.io.ConnectionLimit;

/**
 * Coordinates this process with another process of the same router on the same listening socket
 * during an upgrade: the two share the router's limits, and the old one passes its warm-start state
 * to the new one.
 *
 * <p>{@link #update} is for the maintenance thread, {@link #recordState} for the routing thread,
 * {@link #warmStart} for the thread that starts the router; all else is for any thread.
 */
final class ProcessHandover {
  private final RouterConfig config;

  /** Null if no other process of this router can run at the same time. */
  private final PeerProcess peer;

  /** Written by the maintenance thread only. */
  private volatile boolean peerRunning;

  /** The latest warm-start state since the last update, or null if none was recorded. */
  private volatile WarmStartState latestState;

  ProcessHandover(RouterConfig config) {
    this.config = config;
    this.peer = config.sharesListener() ? new PeerProcess(config) : null;
    this.peerRunning = peer != null && peer.isRunning();
  }

  /** Whether another process of this router was running at the last update. */
  boolean isPeerRunning() {
    return peerRunning;
  }

  /**
   * The connection limits of this process: based on half of the descriptors while another process
   * runs.
   */
  ConnectionBudget budget() {
    int processes = peerRunning ? 2 : 1;
    return ConnectionBudget.of(config.sockets() / processes, config.memoryMb());
  }

  /** The ids of requests that may not be repeated, shared with another process that may run. */
  ExecutedRequestIds executedRequestIds() {
    return peer == null ? new ExecutedRequestIds() : peer.executedRequestIds();
  }

  /** Records the state of the routing engine, to be passed to the next process. */
  void recordState(WarmStartState state) {
    latestState = state;
  }

  /** The state that another process has stored for this one, or null. */
  WarmStartState warmStart() {
    return peer == null ? null : peer.warmStart();
  }

  /** Checks for the other process, applies this one's share of the limits, and stores its state. */
  void update(ClientConnections clients, ConnectionLimit cacheConnections, Lifecycle lifecycle) {
    if (peer == null) {
      return;
    }
    peerRunning = peer.isRunning();
    ConnectionBudget budget = budget();
    clients.setLimits(budget.clients(), budget.clientSoftLimit());
    cacheConnections.setLimit(budget.cacheConnections());
    WarmStartState latest = latestState;
    latestState = null;
    if (peerRunning && latest != null && lifecycle.phase() == Lifecycle.Phase.SERVING) {
      peer.writeState(latest);
    }
  }
}
