package beaconturn.decision;

import java.util.SortedMap;

/** What a router makes of the list, by the servers' ids. */
public record RoutingView(SortedMap<Long, ServerStatus> servers) {
  /** How many servers are listed. */
  public int listed() {
    return (int) servers.values().stream().filter(s -> s != ServerStatus.GONE).count();
  }

  /** How many of them are avoided, by hand or by choice. */
  public int avoided() {
    return (int)
        servers.values().stream()
            .filter(
                s ->
                    s != ServerStatus.GONE && s != ServerStatus.ACTIVE && s != ServerStatus.WARMING)
            .count();
  }
}
