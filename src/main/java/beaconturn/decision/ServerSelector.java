package beaconturn.decision;

import java.util.SplittableRandom;

/**
 * Selects the cache for a request: the home of its key, or the next cache clockwise with capacity
 * under {@link LoadBounds}; if all are full, the least loaded. Zone weights restrict the walk to
 * one zone.
 */
final class ServerSelector {
  private static final int ANY_ZONE = -1;

  private final HashRing ring;
  private final AttemptGuard guard;
  private final SlowStart slowStart;
  private final OutlierDetector outliers;
  private final ConnectionFailures connections;
  private final LoadBounds bounds;
  private final KeySpread spread;
  private final ServerChoice choice;
  private ZoneWeights zoneWeights = ZoneWeights.UNWEIGHTED;

  /** Reads components of {@code rules} that must already be initialized. */
  ServerSelector(RoutingSettings settings, SplittableRandom random, RouterRules rules) {
    this.ring = rules.ring;
    this.guard = rules.guard;
    this.slowStart = rules.slowStart;
    this.outliers = rules.outliers;
    this.connections = rules.connections;
    this.bounds = rules.bounds;
    this.spread = rules.keySpread;
    this.choice =
        new ServerChoice(random, settings.origin().cacheAside() ? settings.zone() : ANY_ZONE);
  }

  ZoneWeights zoneWeights() {
    return zoneWeights;
  }

  void setZoneWeights(ZoneWeights weights) {
    zoneWeights = weights;
  }

  /** Returns the cache for the next attempt; null if none is eligible. */
  ServerState select(RequestState request) {
    if (zoneWeights.zones().isEmpty()) {
      return select(request, ANY_ZONE);
    }
    return zoneWeights.findFirst(
        request.hash(), request.mayJoinTrial(), zone -> select(request, zone));
  }

  private ServerState select(RequestState request, int zone) {
    int servers = zoneWeights.serversInUse(ring.members());
    int cap = bounds.cap(servers);
    int remainingServers = spread.serverCountFor(request);
    boolean allowsUnreachable = connections.allowsUnreachable(request);
    choice.clear();
    ring.startWalk(request.hash());
    for (ServerState server = ring.next();
        server != null && remainingServers > 0;
        server = ring.next()) {
      if (!isCandidate(request, server, zone)) {
        continue;
      }
      if (outliers.isSkipped(server, request)
          || (!allowsUnreachable && connections.isUnreachable(server))) {
        choice.addLastResort(server);
      } else if (server.load().inFlight() < cap && !bounds.isFull(server, servers)) {
        choice.addWithCapacity(server);
        remainingServers--;
      } else {
        choice.addFull(server);
      }
    }
    return choice.best();
  }

  private boolean isCandidate(RequestState request, ServerState server, int zone) {
    return (zone == ANY_ZONE || server.zone() == zone)
        && guard.allows(request, server)
        && !request.wasSentTo(server)
        && slowStart.hasBudget(server);
  }
}
