package beaconturn.zones;

import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.SortedMap;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.Stream;

/**
 * Keeps the reports of all routers and classifies the routers as live, silent or faulty. Only live
 * routers that are not faulty vote on zone health. Not thread-safe.
 */
final class RouterEvidencePool {
  private final ZoneTopology topology;
  private final long windowNanos;

  /** Age from which a report without progress is stale and its router silent. */
  private final long staleAfterNanos;

  /** How long a silent router counts while other routers of its zone are live. */
  private final long maxSilentNanos;

  /** A report that disappears within this time of its last progress was withdrawn. */
  private final long withdrawnWithinNanos;

  /** Evidence by name and incarnation, for reports that the store holds. */
  private final SortedMap<String, RouterEvidence> byIncarnation = new TreeMap<>();

  /**
   * Latest evidence by router name. It outlives the report, as a router that is cut off from the
   * store may still serve requests.
   */
  private final SortedMap<String, RouterEvidence> lastSeenByName = new TreeMap<>();

  private final SortedSet<String> faulty = new TreeSet<>();

  RouterEvidencePool(
      ZoneTopology topology,
      long windowNanos,
      long staleAfterNanos,
      long maxSilentNanos,
      long withdrawnWithinNanos) {
    this.topology = topology;
    this.windowNanos = windowNanos;
    this.staleAfterNanos = staleAfterNanos;
    this.maxSilentNanos = maxSilentNanos;
    this.withdrawnWithinNanos = withdrawnWithinNanos;
  }

  /** Records the reports that the store holds and detects faulty routers. */
  void update(Collection<ZoneReport> reports, long nowNanos) {
    Set<String> reporting = new TreeSet<>();
    for (ZoneReport report : reports) {
      if (topology.regions().containsKey(report.homeZone())) {
        reporting.add(report.router());
        byIncarnation
            .computeIfAbsent(report.router(), router -> new RouterEvidence(windowNanos))
            .update(report, nowNanos);
      }
    }
    removeDeparted(reporting, nowNanos);
    detectFaultyRouters(nowNanos);
  }

  private void removeDeparted(Set<String> reporting, long nowNanos) {
    // A report that disappears long before its lease could expire was withdrawn on shutdown.
    byIncarnation.values().stream()
        .filter(router -> !reporting.contains(router.router()))
        .filter(router -> nowNanos - router.advancedAtNanos() < withdrawnWithinNanos)
        .forEach(router -> lastSeenByName.remove(router.routerName(), router));
    byIncarnation.keySet().retainAll(reporting);
    byIncarnation
        .values()
        .forEach(
            router ->
                lastSeenByName.merge(router.routerName(), router, RouterEvidencePool::moreRecent));
    lastSeenByName
        .values()
        .removeIf(
            router ->
                nowNanos - router.advancedAtNanos() > maxSilentNanos
                    && !liveRoutersOf(router.homeZone(), nowNanos).isEmpty());
  }

  private static RouterEvidence moreRecent(RouterEvidence one, RouterEvidence other) {
    return one.advancedAtNanos() > other.advancedAtNanos() ? one : other;
  }

  private void detectFaultyRouters(long nowNanos) {
    faulty.clear();
    for (RouterEvidence router : byIncarnation.values()) {
      if (looksFaulty(router, nowNanos)) {
        faulty.add(router.router());
      }
    }
  }

  /**
   * Returns whether a router sees no zone as healthy, and some as unhealthy, while at least half of
   * its neighbours see their home zone as healthy.
   */
  private boolean looksFaulty(RouterEvidence router, long nowNanos) {
    List<ZoneHealth> views =
        topology.zones().stream()
            .map(zone -> ZoneHealthRules.viewOf(router.recentObservations(zone)))
            .toList();
    List<RouterEvidence> neighbours =
        liveRoutersOf(router.homeZone(), nowNanos).stream()
            .filter(other -> other != router)
            .toList();
    long healthyNeighbours =
        neighbours.stream().filter(RouterEvidencePool::findsHomeHealthy).count();
    return views.contains(ZoneHealth.BROKEN)
        && !views.contains(ZoneHealth.GOOD)
        && healthyNeighbours > 0
        && 2 * healthyNeighbours >= neighbours.size();
  }

  private static boolean findsHomeHealthy(RouterEvidence router) {
    return ZoneHealthRules.viewOf(router.recentObservations(router.homeZone())) == ZoneHealth.GOOD;
  }

  /** Returns the faulty routers, each as name and incarnation. */
  SortedSet<String> faultyRouters() {
    return faulty;
  }

  /** Returns the routers whose reports advance. */
  Stream<RouterEvidence> liveRouters(long nowNanos) {
    return byIncarnation.values().stream()
        .filter(router -> nowNanos - router.advancedAtNanos() <= staleAfterNanos);
  }

  /** Returns the live routers of a zone that are not faulty. */
  List<RouterEvidence> liveRoutersOf(String home, long nowNanos) {
    return liveRouters(nowNanos)
        .filter(router -> router.homeZone().equals(home) && !isFaulty(router))
        .toList();
  }

  boolean isFaulty(RouterEvidence router) {
    return faulty.contains(router.router());
  }

  /** Returns the recent observations of a zone by its own routers, including silent ones. */
  Stream<ZoneObservations> recentAtHome(String zone) {
    return byIncarnation.values().stream()
        .filter(router -> router.homeZone().equals(zone) && !isFaulty(router))
        .map(router -> router.recentObservations(zone));
  }

  /** Returns the routers of a zone that reported before and are silent now. */
  Stream<RouterEvidence> silentRoutersOf(String home, long nowNanos) {
    return lastSeenByName.values().stream()
        .filter(router -> router.homeZone().equals(home))
        .filter(router -> nowNanos - router.advancedAtNanos() > staleAfterNanos);
  }

  /** Returns the routers of a zone that have reported a request rate. */
  Stream<RouterEvidence> routersWithKnownRate(String home) {
    return lastSeenByName.values().stream()
        .filter(router -> router.homeZone().equals(home) && router.requestsPerSecond() >= 0);
  }
}
