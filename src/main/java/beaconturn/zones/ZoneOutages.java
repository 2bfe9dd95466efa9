package beaconturn.zones;

import java.util.Collection;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * Tracks since when zones are unusable or healthy for their own routers. Confined to the planner's
 * thread.
 */
final class ZoneOutages {
  /** Limit on the doublings of the recovery time by flaps. */
  private static final int MAX_DOUBLINGS = 5;

  private final EvidenceAggregator evidence;
  private final FailoverTiming timing;
  private final SortedMap<String, Long> unusableSinceNanos = new TreeMap<>();
  private final SortedMap<String, Long> healthySinceNanos = new TreeMap<>();

  ZoneOutages(EvidenceAggregator evidence, FailoverTiming timing) {
    this.evidence = evidence;
    this.timing = timing;
  }

  /** Updates all zones by the current evidence. */
  void update(Collection<String> zones, long nowNanos) {
    for (String zone : zones) {
      if (isUnusable(zone)) {
        unusableSinceNanos.putIfAbsent(zone, nowNanos);
        healthySinceNanos.remove(zone);
      } else {
        unusableSinceNanos.remove(zone);
        if (evidence.isHealthyFrom(zone, zone)) {
          healthySinceNanos.putIfAbsent(zone, nowNanos);
        }
      }
    }
  }

  /** Returns whether the current evidence shows that the zone cannot serve its own routers. */
  boolean isUnusable(String zone) {
    ZoneHealth health = evidence.healthOf(zone);
    return health == ZoneHealth.BROKEN
        || health == ZoneHealth.NOT_LISTED
        || evidence.isUnhealthyFrom(zone, zone);
  }

  /** Returns whether the zone was unusable at the last update, confirmed or not. */
  boolean isSuspected(String zone) {
    return unusableSinceNanos.containsKey(zone);
  }

  /**
   * Returns whether the zone has been unusable for the confirmation time, so that its keys move.
   */
  boolean isConfirmed(String zone, long nowNanos) {
    return isSuspected(zone) && nowNanos - unusableSinceNanos.get(zone) >= timing.confirmNanos();
  }

  /** Returns whether an evacuated zone has been healthy for long enough for its number of flaps. */
  boolean hasRecovered(String zone, int flapCount, long nowNanos) {
    long requiredNanos =
        Math.min(
            timing.maxRecoveryNanos(),
            timing.recoveryNanos() << Math.min(MAX_DOUBLINGS, flapCount));
    return nowNanos - healthySinceNanos.getOrDefault(zone, nowNanos) >= requiredNanos;
  }

  /** Restarts the confirmation time of all unusable zones. */
  void restartConfirmation(long nowNanos) {
    unusableSinceNanos.replaceAll((zone, sinceNanos) -> nowNanos);
  }
}
