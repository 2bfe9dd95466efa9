package beaconturn.zones;

import java.util.Collection;
import java.util.List;
import java.util.SortedSet;

/**
 * Aggregates the reports of all routers into the health, the traffic and the capacity of each zone.
 * Each router has one vote in its home zone, so that false reports are outvoted. Routers whose
 * reports are stale are ignored, as are faulty routers: those that see failures everywhere while
 * their neighbours do not. Not thread-safe.
 */
final class EvidenceAggregator {
  private final ZoneTopology topology;
  private final RouterEvidencePool pool;
  private ZoneHealthAssessment assessment = new ZoneHealthAssessment();

  /**
   * Creates an aggregator without any reports.
   *
   * @param windowNanos length of the window over which observations are compared
   * @param staleAfterNanos age from which a report without progress is ignored
   * @param maxSilentNanos how long the traffic of a silent router counts while other routers of its
   *     zone report
   * @param withdrawnWithinNanos a report that disappears within this time of its last progress was
   *     withdrawn by its router on shutdown
   */
  EvidenceAggregator(
      ZoneTopology topology,
      long windowNanos,
      long staleAfterNanos,
      long maxSilentNanos,
      long withdrawnWithinNanos) {
    this.topology = topology;
    this.pool =
        new RouterEvidencePool(
            topology, windowNanos, staleAfterNanos, maxSilentNanos, withdrawnWithinNanos);
  }

  /** Records the reports that the store holds and reassesses all zones. */
  void update(Collection<ZoneReport> reports, long nowNanos) {
    pool.update(reports, nowNanos);
    assessment = new ZoneHealthAssessment(topology, pool, nowNanos);
  }

  /** Returns the health of a zone as seen by the routers of all zones. */
  ZoneHealth healthOf(String zone) {
    return assessment.healthOf(zone);
  }

  /** Describes the health of a zone for evidence logs and plan reasons. */
  String describe(String zone) {
    return assessment.describe(zone);
  }

  /** Returns whether the routers of the home zone see the given zone as unhealthy. */
  boolean isUnhealthyFrom(String home, String zone) {
    return assessment.viewFrom(home, zone) == ZoneHealth.BROKEN;
  }

  /** Returns whether the routers of the home zone see the given zone as healthy. */
  boolean isHealthyFrom(String home, String zone) {
    return assessment.viewFrom(home, zone) == ZoneHealth.GOOD;
  }

  /** Returns the faulty routers, each as name and incarnation. */
  SortedSet<String> faultyRouters() {
    return pool.faultyRouters();
  }

  /**
   * Returns the share of failed attempts by a zone's own routers in that zone; 0 without attempts.
   */
  double failureShare(String zone) {
    long successes = pool.recentAtHome(zone).mapToLong(ZoneObservations::successfulAttempts).sum();
    long failures = pool.recentAtHome(zone).mapToLong(ZoneObservations::failedAttempts).sum();
    return successes + failures == 0 ? 0 : failures / (double) (successes + failures);
  }

  /**
   * Returns the mean response time of a zone for its own routers, in microseconds; 0 without
   * successful attempts.
   */
  double meanResponseMicros(String zone) {
    long successes = pool.recentAtHome(zone).mapToLong(ZoneObservations::successfulAttempts).sum();
    long micros = pool.recentAtHome(zone).mapToLong(ZoneObservations::successMicros).sum();
    return successes == 0 ? 0 : micros / (double) successes;
  }

  /** Returns the requests per second that the reporting routers of a zone receive. */
  double requestsPerSecond(String home, long nowNanos) {
    return pool.liveRouters(nowNanos)
        .filter(router -> router.homeZone().equals(home))
        .mapToDouble(router -> Math.max(0, router.requestsPerSecond()))
        .sum();
  }

  /**
   * Returns the requests per second that the silent routers of a zone last reported. Such a router
   * may be cut off from the store and still serve requests in its zone. While other routers of the
   * zone report, the rate counts for a limited time, as the clients of a killed router move to
   * them; otherwise it counts until a router of the zone reports again. A router that has reported
   * only once counts with the mean rate of its zone.
   */
  double silentRequestsPerSecond(String home, long nowNanos) {
    double mean =
        pool.routersWithKnownRate(home)
            .mapToDouble(RouterEvidence::requestsPerSecond)
            .average()
            .orElse(0);
    return pool.silentRoutersOf(home, nowNanos)
        .mapToDouble(RouterEvidence::requestsPerSecond)
        .map(perSecond -> perSecond < 0 ? mean : perSecond)
        .sum();
  }

  /** Returns whether any router of a zone has reported a request rate. */
  boolean hasKnownRate(String home) {
    return pool.routersWithKnownRate(home).findAny().isPresent();
  }

  /**
   * Returns the number of warm cache servers of a zone: the median over the routers of all zones.
   */
  int warmServers(String zone, long nowNanos) {
    List<Integer> counts =
        pool.liveRouters(nowNanos)
            .filter(router -> !pool.isFaulty(router))
            .map(router -> router.latestObservations(zone).warmServers())
            .sorted()
            .toList();
    return counts.isEmpty() ? 0 : counts.get(counts.size() / 2);
  }

  /** Returns the latest reports of the routers that are not silent. */
  Collection<ZoneReport> reports(long nowNanos) {
    return pool.liveRouters(nowNanos).map(RouterEvidence::latestReport).toList();
  }
}
