package beaconturn.decision;

import java.util.SortedMap;

/** How a router treats each server that it knows, by the servers' ids. */
public record RoutingView(SortedMap<Long, ServerStatus> servers) {
  /** How many servers are listed. */
  public int listed() {
    return (int) servers.values().stream().filter(status -> status != ServerStatus.GONE).count();
  }

  /** How many of them get no ordinary requests. */
  public int avoided() {
    return (int) servers.values().stream().filter(RoutingView::isAvoided).count();
  }

  private static boolean isAvoided(ServerStatus status) {
    return status != ServerStatus.GONE
        && status != ServerStatus.ACTIVE
        && status != ServerStatus.WARMING;
  }
}
