package beaconturn.decision;

import java.util.TreeMap;

/** A decision module: one per router, driven by one thread, sharing nothing. */
public interface RoutingPolicy {
  /** Handles one event at the given clock time. */
  void handle(long now, RoutingEvent event);

  /** What a router that follows should begin with, or null. */
  default WarmStartState warmStartState() {
    return null;
  }

  /** What it makes of the list now. */
  default RoutingView view() {
    return new RoutingView(new TreeMap<>());
  }
}
