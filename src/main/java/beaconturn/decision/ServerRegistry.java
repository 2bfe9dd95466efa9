package beaconturn.decision;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * All servers that the router knows: the endpoint list and operators decide which of them are on
 * the ring, and which are origins.
 */
final class ServerRegistry {
  private final RoutingSettings settings;
  private final HashRing ring;
  private final EndpointWatch watch;

  /** By id, in the order in which they became known. */
  private final Map<Long, ServerState> servers = new LinkedHashMap<>();

  private final List<ServerState> origins = new ArrayList<>();

  ServerRegistry(RoutingSettings settings, HashRing ring, EndpointWatch watch) {
    this.settings = settings;
    this.ring = ring;
    this.watch = watch;
  }

  /** Takes over all servers of the router that this one follows. */
  void continueFrom(ServerRegistry predecessor) {
    boolean sameReports = settings.loadReportFields().equals(predecessor.settings.loadReportFields());
    predecessor.servers.forEach(
        (id, server) -> servers.put(id, server.successor(sameReports, settings.stableRatings())));
    watch.continueFrom(predecessor.watch);
    refresh();
  }

  /** Takes over a list, a change of it, or the failure to get it. */
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

  /** An operator excludes a server or brings it back. */
  void overrideChanged(RoutingEvent.OperatorOverrideChanged change) {
    server(change.serverId()).operatorOverride(change.excluded(), change.atNanos());
    refresh();
  }

  /** An attempt has ended; its end may confirm that its server is gone. */
  void attemptEnded(AttemptState attempt, AttemptOutcome outcome) {
    if (attempt.server().attemptEnded(outcome)) {
      refresh();
    }
  }

  private ServerState server(long id) {
    return servers.computeIfAbsent(id, ServerState::new);
  }

  /** Puts usable servers on the ring or among the origins, and forgets those that are gone. */
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

  /** Whether the router itself sends fetches to the server. */
  boolean isOrigin(ServerState server) {
    return settings.origin().cacheAside() && server.kind() == settings.origin().kind();
  }

  /** The origin server with the fewest attempts in flight; null if there is none. */
  ServerState leastLoadedOrigin() {
    ServerState least = null;
    for (ServerState origin : origins) {
      least = ServerState.lessLoaded(least, origin);
    }
    return least;
  }

  /** How the router treats each server that it knows. */
  RoutingView view(SlowStart slowStart) {
    SortedMap<Long, ServerStatus> statuses = new TreeMap<>();
    for (ServerState server : servers.values()) {
      statuses.put(server.id(), server.status(slowStart.isWarmingUp(server)));
    }
    return new RoutingView(statuses);
  }
}
