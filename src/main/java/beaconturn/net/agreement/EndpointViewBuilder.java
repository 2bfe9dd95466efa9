package beaconturn.net.agreement;

import beaconturn.agreement.EndpointView;
import beaconturn.agreement.LastingEjections;
import beaconturn.core.CacheServerClients;
import beaconturn.decision.ServerStatus;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * Builds the endpoint view that a router publishes. A server counts as usable during a short
 * ejection. Not thread-safe.
 */
final class EndpointViewBuilder {
  private final LastingEjections ejections = new LastingEjections();

  EndpointView view(Map<CacheServerClients.ListedServer, ServerStatus> servers, long nowNanos) {
    ejections.retainOnly(
        servers.entrySet().stream()
            .filter(server -> server.getValue() == ServerStatus.EJECTED)
            .map(server -> server.getKey().name())
            .toList());
    SortedMap<String, Long> usable = new TreeMap<>();
    SortedMap<String, String> unusable = new TreeMap<>();
    servers.forEach(
        (server, status) -> {
          if (isUsable(server.name(), status, nowNanos)) {
            usable.put(server.name(), server.bootTimeNanos());
          } else {
            unusable.put(server.name(), storedStatus(status));
          }
        });
    return new EndpointView(usable, unusable);
  }

  private boolean isUsable(String server, ServerStatus status, long nowNanos) {
    boolean shortEjection =
        status == ServerStatus.EJECTED && !ejections.isLasting(server, nowNanos);
    return status == ServerStatus.ACTIVE || shortEjection;
  }

  /** Returns the word for a status in the coordination store, which other builds read. */
  private static String storedStatus(ServerStatus status) {
    return switch (status) {
      case ACTIVE -> "in";
      case WARMING -> "warming";
      case DRAINING -> "draining";
      case GONE -> "gone";
      case EXCLUDED -> "left out";
      case EJECTED -> "ejected";
    };
  }
}
