package beaconturn.decision;

import java.util.TreeMap;

/** Decides for one router; one thread calls, and policies share nothing with each other. */
public interface RoutingPolicy {
  /** Handles one event at the given time of the host's monotonic clock. */
  void handle(long nowNanos, RoutingEvent event);

  /** What a router that follows should begin with; null for nothing. */
  default WarmStartState warmStartState() {
    return null;
  }

  /** How it treats each server now. */
  default RoutingView view() {
    return new RoutingView(new TreeMap<>());
  }
}
