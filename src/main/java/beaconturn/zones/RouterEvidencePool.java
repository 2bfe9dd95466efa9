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
 * The reports of all routers, those that are heard and those that were. One that is stuck is not
 * heard, one that is broken is not asked for its views. For one thread.
 */
final class RouterEvidencePool {
  private final ZoneTopology topology;
  private final long windowNanos;

  /** A report that has not grown for so long is not heard. */
  private final long staleNanos;

  /** One that is not heard counts for so long, where others of its zone are. */
  private final long maxUnheardNanos;

  /** One whose report is gone sooner than so after it grew has left. */
  private final long withdrawnNanos;

  /** By name and incarnation, those whose reports stand in the store. */
  private final SortedMap<String, RouterEvidence> present = new TreeMap<>();

  /** By the router's name, as it was heard last; it may serve on, cut off. */
  private final SortedMap<String, RouterEvidence> latest = new TreeMap<>();

  private final SortedSet<String> broken = new TreeSet<>();

  RouterEvidencePool(
      ZoneTopology topology,
      long windowNanos,
      long staleNanos,
      long maxUnheardNanos,
      long withdrawnNanos) {
    this.topology = topology;
    this.windowNanos = windowNanos;
    this.staleNanos = staleNanos;
    this.maxUnheardNanos = maxUnheardNanos;
    this.withdrawnNanos = withdrawnNanos;
  }

  /** Takes in the reports that stand in the store, and finds the routers that are broken. */
  void update(Collection<ZoneReport> reports, long nowNanos) {
    Set<String> reporting = new TreeSet<>();
    for (ZoneReport report : reports) {
      if (topology.regions().containsKey(report.homeZone())) {
        reporting.add(report.router());
        present
            .computeIfAbsent(report.router(), router -> new RouterEvidence(windowNanos))
            .update(report, nowNanos);
      }
    }
    forgetGone(reporting, nowNanos);
    findBroken(nowNanos);
  }

  private void forgetGone(Set<String> reporting, long nowNanos) {
    // A report that is gone long before its lease could end was withdrawn: its router has left.
    present.values().stream()
        .filter(router -> !reporting.contains(router.router()))
        .filter(router -> nowNanos - router.grewAtNanos() < withdrawnNanos)
        .forEach(router -> latest.remove(router.routerName(), router));
    present.keySet().retainAll(reporting);
    present
        .values()
        .forEach(router -> latest.merge(router.routerName(), router, RouterEvidencePool::later));
    latest
        .values()
        .removeIf(
            router ->
                nowNanos - router.grewAtNanos() > maxUnheardNanos
                    && !heardFrom(router.homeZone(), nowNanos).isEmpty());
  }

  private static RouterEvidence later(RouterEvidence one, RouterEvidence other) {
    return one.grewAtNanos() > other.grewAtNanos() ? one : other;
  }

  private void findBroken(long nowNanos) {
    broken.clear();
    for (RouterEvidence router : present.values()) {
      if (isBroken(router, nowNanos)) {
        broken.add(router.router());
      }
    }
  }

  /** Whether a router finds nothing good while most of its neighbours find their zone good. */
  private boolean isBroken(RouterEvidence router, long nowNanos) {
    List<ZoneHealth> views =
        topology.zones().stream().map(zone -> ZoneHealthRules.viewOf(router.recent(zone))).toList();
    List<RouterEvidence> neighbours =
        heardFrom(router.homeZone(), nowNanos).stream().filter(other -> other != router).toList();
    long good = neighbours.stream().filter(RouterEvidencePool::findsHomeGood).count();
    return views.contains(ZoneHealth.BROKEN)
        && !views.contains(ZoneHealth.GOOD)
        && good > 0
        && 2 * good >= neighbours.size();
  }

  private static boolean findsHomeGood(RouterEvidence router) {
    return ZoneHealthRules.viewOf(router.recent(router.homeZone())) == ZoneHealth.GOOD;
  }

  /** Routers that find nothing good while their neighbours do. */
  SortedSet<String> brokenRouters() {
    return broken;
  }

  /** Routers whose reports grow. */
  Stream<RouterEvidence> heard(long nowNanos) {
    return present.values().stream()
        .filter(router -> nowNanos - router.grewAtNanos() <= staleNanos);
  }

  /** Routers of a zone that are heard and not broken. */
  List<RouterEvidence> heardFrom(String home, long nowNanos) {
    return heard(nowNanos)
        .filter(router -> router.homeZone().equals(home) && !isKnownBroken(router))
        .toList();
  }

  boolean isKnownBroken(RouterEvidence router) {
    return broken.contains(router.router());
  }

  /** What a zone's own routers have lately seen of it, also those that are not heard now. */
  Stream<ZoneObservations> recentFromOwn(String zone) {
    return present.values().stream()
        .filter(router -> router.homeZone().equals(zone) && !isKnownBroken(router))
        .map(router -> router.recent(zone));
  }

  /** Routers of a zone that were heard before and are not now. */
  Stream<RouterEvidence> unheardFrom(String home, long nowNanos) {
    return latest.values().stream()
        .filter(router -> router.homeZone().equals(home))
        .filter(router -> nowNanos - router.grewAtNanos() > staleNanos);
  }

  /** Routers of a zone that have ever reported how much they take. */
  Stream<RouterEvidence> withKnownRate(String home) {
    return latest.values().stream()
        .filter(router -> router.homeZone().equals(home) && router.requestsPerSecond() >= 0);
  }
}
