package beaconturn.net.agreement;

import beaconturn.agreement.EndpointView;
import beaconturn.agreement.LastingEjections;
import beaconturn.core.CacheServerClients;
import beaconturn.decision.ServerStatus;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

/** Builds what a router publishes of its cache servers. For one thread. */
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
            unusable.put(server.name(), storedWord(status));
          }
        });
    return new EndpointView(usable, unusable);
  }

  private boolean isUsable(String server, ServerStatus status, long nowNanos) {
    boolean passingEjection =
        status == ServerStatus.EJECTED && !ejections.isLasting(server, nowNanos);
    return status == ServerStatus.ACTIVE || passingEjection;
  }

  /** The word under which the coordination store keeps a status; other builds read it. */
  private static String storedWord(ServerStatus status) {
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
