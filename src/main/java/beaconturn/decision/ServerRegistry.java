package beaconturn.decision;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * Tracks all servers known to the router. The endpoint list and operator overrides determine which
 * of them are on the ring and which are origins.
 */
final class ServerRegistry {
  private final RoutingSettings settings;
  private final HashRing ring;
  private final EndpointWatch watch;

  /** Servers by id, in the order in which they became known. */
  private final Map<Long, ServerState> servers = new LinkedHashMap<>();

  private final List<ServerState> origins = new ArrayList<>();

  ServerRegistry(RoutingSettings settings, HashRing ring, EndpointWatch watch) {
    this.settings = settings;
    this.ring = ring;
    this.watch = watch;
  }

  /** Takes over the servers of the predecessor. */
  void continueFrom(ServerRegistry predecessor) {
    boolean sameReports =
        settings.loadReportFields().equals(predecessor.settings.loadReportFields());
    predecessor.servers.forEach(
        (id, server) -> servers.put(id, server.successor(sameReports, settings.stableRatings())));
    watch.continueFrom(predecessor.watch);
    refresh();
  }

  /** Applies an endpoint list, a change of it, or a failure to retrieve it. */
  void listUpdated(RoutingEvent.EndpointsUpdated list) {
    if (list.kind() == EndpointListKind.FAILED) {
      watch.updateFailed();
      return;
    }
    boolean removalIsAdvisory = settings.safetyLimits().removalIsAdvisory();
    if (list.kind() != EndpointListKind.DELTA) {
      servers.values().forEach(server -> server.removedFromList(removalIsAdvisory));
    }
    for (Endpoint endpoint : list.endpoints()) {
      server(endpoint.serverId())
          .update(
              endpoint,
              settings.stableRatings(),
              removalIsAdvisory,
              watch.startedAtNanos(endpoint));
    }
    watch.updateReceived(list.kind());
    refresh();
  }

  /** Applies an operator override. */
  void overrideChanged(RoutingEvent.OperatorOverrideChanged change) {
    server(change.serverId()).operatorOverride(change.excluded(), change.atNanos());
    refresh();
  }

  /** Records the end of an attempt, which may confirm the removal of its server. */
  void attemptEnded(AttemptState attempt, AttemptOutcome outcome) {
    if (attempt.server().attemptEnded(outcome)) {
      refresh();
    }
  }

  private ServerState server(long id) {
    return servers.computeIfAbsent(id, ServerState::new);
  }

  /** Puts usable servers on the ring or among the origins, and drops removed ones. */
  private void refresh() {
    servers.values().removeIf(ServerState::isRemovable);
    origins.clear();
    List<ServerState> caches = new ArrayList<>();
    for (ServerState server : servers.values()) {
      if (server.isUsable()) {
        (isOrigin(server) ? origins : caches).add(server);
      }
    }
    ring.replaceMembers(caches);
  }

  /** Whether the server is an origin to which the router itself sends fetches. */
  boolean isOrigin(ServerState server) {
    return settings.origin().cacheAside() && server.kind() == settings.origin().kind();
  }

  /** Returns the origin server with the fewest attempts in flight; null if there is none. */
  ServerState leastLoadedOrigin() {
    ServerState least = null;
    for (ServerState origin : origins) {
      least = ServerState.lessLoaded(least, origin);
    }
    return least;
  }

  /** Returns the status of each known server. */
  RoutingView view(SlowStart slowStart) {
    SortedMap<Long, ServerStatus> statuses = new TreeMap<>();
    for (ServerState server : servers.values()) {
      statuses.put(server.id(), server.status(slowStart.isWarmingUp(server)));
    }
    return new RoutingView(statuses);
  }
}
