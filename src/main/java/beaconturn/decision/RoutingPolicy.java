package beaconturn.decision;

import java.util.TreeMap;

/** Makes the routing decisions of one router. Not thread-safe; instances share no state. */
public interface RoutingPolicy {
  /** Handles one event at the given time of the host's monotonic clock. */
  void handle(long nowNanos, RoutingEvent event);

  /** Returns the state for a successor to start from; null for none. */
  default WarmStartState warmStartState() {
    return null;
  }

  /** Returns the current status of each server. */
  default RoutingView view() {
    return new RoutingView(new TreeMap<>());
  }
}
