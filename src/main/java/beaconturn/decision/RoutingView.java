package beaconturn.decision;

import java.util.SortedMap;

/** Status of each server known to a router, by server id. */
public record RoutingView(SortedMap<Long, ServerStatus> servers) {
  /** Returns the number of listed servers. */
  public int listed() {
    return (int) servers.values().stream().filter(status -> status != ServerStatus.GONE).count();
  }

  /** Returns the number of listed servers that get no regular requests. */
  public int avoided() {
    return (int) servers.values().stream().filter(RoutingView::isAvoided).count();
  }

  private static boolean isAvoided(ServerStatus status) {
    return status != ServerStatus.GONE
        && status != ServerStatus.ACTIVE
        && status != ServerStatus.WARMING;
  }
}
