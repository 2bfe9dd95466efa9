package beaconturn.zones;

import java.util.Collection;
import java.util.List;
import java.util.SortedSet;

/**
 * The reports of all routers, pooled. One router counts as one vote of its zone, whatever it claims
 * to have seen: one that lies is outvoted, one that is stuck is not heard, one that finds all zones
 * bad while its neighbours do not is itself what is broken. For one thread.
 */
final class EvidenceAggregator {
  private final ZoneTopology topology;
  private final RouterEvidencePool pool;
  private ZoneHealthAssessment assessment = new ZoneHealthAssessment();

  /**
   * Evidence over these zones, none at first.
   *
   * @param windowNanos what is compared is what came since about so long ago
   * @param staleNanos a report that has not grown for so long is not heard
   * @param maxUnheardNanos a router that is not heard counts for so long, where others of its zone
   *     are
   * @param withdrawnNanos a router whose report is gone sooner than so after it grew has left
   */
  EvidenceAggregator(
      ZoneTopology topology,
      long windowNanos,
      long staleNanos,
      long maxUnheardNanos,
      long withdrawnNanos) {
    this.topology = topology;
    this.pool =
        new RouterEvidencePool(topology, windowNanos, staleNanos, maxUnheardNanos, withdrawnNanos);
  }

  /** Takes in the reports that stand in the store now, and assesses all zones. */
  void update(Collection<ZoneReport> reports, long nowNanos) {
    pool.update(reports, nowNanos);
    assessment = new ZoneHealthAssessment(topology, pool, nowNanos);
  }

  /** What all routers together say of a zone. */
  ZoneHealth healthOf(String zone) {
    return assessment.healthOf(zone);
  }

  /** What was found of a zone, in words. */
  String describe(String zone) {
    return assessment.describe(zone);
  }

  /** Whether the routers of one zone find another, or their own, bad. */
  boolean isBadFrom(String home, String zone) {
    return assessment.viewFrom(home, zone) == ZoneHealth.BROKEN;
  }

  /** Whether the routers of one zone find another, or their own, good. */
  boolean isGoodFrom(String home, String zone) {
    return assessment.viewFrom(home, zone) == ZoneHealth.GOOD;
  }

  /** Routers that find nothing good while their neighbours do, by name and incarnation. */
  SortedSet<String> brokenRouters() {
    return pool.brokenRouters();
  }

  /** The bad part of the attempts of a zone's own routers there; 0 where there were none. */
  double badShare(String zone) {
    long good = pool.recentFromOwn(zone).mapToLong(ZoneObservations::successfulAttempts).sum();
    long bad = pool.recentFromOwn(zone).mapToLong(ZoneObservations::failedAttempts).sum();
    return good + bad == 0 ? 0 : bad / (double) (good + bad);
  }

  /** The mean time of good answers to a zone's own routers there, 0 where there were none. */
  double answerMicros(String zone) {
    long good = pool.recentFromOwn(zone).mapToLong(ZoneObservations::successfulAttempts).sum();
    long micros = pool.recentFromOwn(zone).mapToLong(ZoneObservations::successMicros).sum();
    return good == 0 ? 0 : micros / (double) good;
  }

  /** Requests a second that the routers of a zone take, of those that are heard. */
  double requestsPerSecond(String home, long nowNanos) {
    return pool.heard(nowNanos)
        .filter(router -> router.homeZone().equals(home))
        .mapToDouble(router -> Math.max(0, router.requestsPerSecond()))
        .sum();
  }

  /**
   * Requests a second that routers of a zone took which are not heard any more: cut off from the
   * store they may still serve, at their own zone. Where others of the zone are heard this counts
   * for a while only, as the clients of a router that was killed go to them; where nobody is heard,
   * for as long as that is so. A router that has reported only once counts as the mean of its zone.
   */
  double unheardPerSecond(String home, long nowNanos) {
    double mean =
        pool.withKnownRate(home).mapToDouble(RouterEvidence::requestsPerSecond).average().orElse(0);
    return pool.unheardFrom(home, nowNanos)
        .mapToDouble(RouterEvidence::requestsPerSecond)
        .map(perSecond -> perSecond < 0 ? mean : perSecond)
        .sum();
  }

  /** Whether any router of a zone has ever reported how much it takes. */
  boolean hasHeardFrom(String home) {
    return pool.withKnownRate(home).findAny().isPresent();
  }

  /** Cache servers of a zone that are warm, as most routers of any zone have it: the median. */
  int warmServers(String zone, long nowNanos) {
    List<Integer> counts =
        pool.heard(nowNanos)
            .filter(router -> !pool.isKnownBroken(router))
            .map(router -> router.latest(zone).warmServers())
            .sorted()
            .toList();
    return counts.isEmpty() ? 0 : counts.get(counts.size() / 2);
  }

  /** The last reports of the routers that are heard. */
  Collection<ZoneReport> reports(long nowNanos) {
    return pool.heard(nowNanos).map(RouterEvidence::last).toList();
  }
}
