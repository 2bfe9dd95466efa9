package beaconturn.zones;

import java.util.Collection;
import java.util.SortedMap;
import java.util.TreeMap;

/** Keeps since when zones are bad or good for their own routers. For the planner's thread. */
final class ZoneOutages {
  /** The time that a zone has to be good doubles so often at most. */
  private static final int MAX_DOUBLINGS = 5;

  private final EvidenceAggregator evidence;
  private final FailoverTiming timing;
  private final SortedMap<String, Long> badSinceNanos = new TreeMap<>();
  private final SortedMap<String, Long> goodSinceNanos = new TreeMap<>();

  ZoneOutages(EvidenceAggregator evidence, FailoverTiming timing) {
    this.evidence = evidence;
    this.timing = timing;
  }

  /** Takes in what the evidence says now. */
  void update(Collection<String> zones, long nowNanos) {
    for (String zone : zones) {
      if (isUnusable(zone)) {
        badSinceNanos.putIfAbsent(zone, nowNanos);
        goodSinceNanos.remove(zone);
      } else {
        badSinceNanos.remove(zone);
        if (evidence.isGoodFrom(zone, zone)) {
          goodSinceNanos.putIfAbsent(zone, nowNanos);
        }
      }
    }
  }

  /** Whether the zone's own routers cannot use it, by the evidence as it is. */
  boolean isUnusable(String zone) {
    ZoneHealth health = evidence.healthOf(zone);
    return health == ZoneHealth.BROKEN
        || health == ZoneHealth.NOT_LISTED
        || evidence.isBadFrom(zone, zone);
  }

  /** Whether it was unusable at the last update, for however short a time. */
  boolean isBad(String zone) {
    return badSinceNanos.containsKey(zone);
  }

  /** Whether it has been unusable for long enough to move its keys. */
  boolean isConfirmed(String zone, long nowNanos) {
    return isBad(zone) && nowNanos - badSinceNanos.get(zone) >= timing.confirmNanos();
  }

  /** Whether a zone that was bad may be used again, having gone and come back so often. */
  boolean hasRecovered(String zone, int flapCount, long nowNanos) {
    long requiredNanos =
        Math.min(
            timing.maxRecoveryNanos(),
            timing.recoveryNanos() << Math.min(MAX_DOUBLINGS, flapCount));
    return nowNanos - goodSinceNanos.getOrDefault(zone, nowNanos) >= requiredNanos;
  }

  /** Zones that are bad count as bad from now on only. */
  void restartConfirmation(long nowNanos) {
    badSinceNanos.replaceAll((zone, sinceNanos) -> nowNanos);
  }
}
