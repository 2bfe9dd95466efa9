package beaconturn.history;

import java.util.Map;

/**
 * What is promised of a release.
 *
 * @param caches whether it is one of cache servers, otherwise of routers
 * @param zones zone of each instance that may be released, in the order of their numbers
 * @param maxUnavailable instances that may be out at once in all zones
 * @param maxUnavailablePerZone instances that may be out at once in one zone
 * @param noticedWithinNanos an instance that is out by itself counts as out from so long after
 * @param haltWithinNanos so long after a halt a step may still begin
 * @param maxHarmed instances that may run what is released where that does harm; 0 where it does
 *     none
 */
public record RolloutBounds(
    boolean caches,
    Map<String, String> zones,
    int maxUnavailable,
    int maxUnavailablePerZone,
    long noticedWithinNanos,
    long haltWithinNanos,
    int maxHarmed) {}
