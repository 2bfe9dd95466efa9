package beaconturn.history;

import java.util.Map;

/**
 * Bounds of a release.
 *
 * @param ofCacheServers whether cache servers are released, otherwise routers
 * @param zones zone of each instance that may be released, in the order of the instances
 * @param maxUnavailable instances that may be unavailable at once in all zones
 * @param maxUnavailablePerZone instances that may be unavailable at once in one zone
 * @param detectionDelayNanos time after which an unplanned outage counts as detected
 * @param haltDelayNanos time after a halt, or a lower budget, within which a step may still start
 * @param maxFaultyInstances instances that may run a faulty released variant; 0 if it has no fault
 */
public record RolloutBounds(
    boolean ofCacheServers,
    Map<String, String> zones,
    int maxUnavailable,
    int maxUnavailablePerZone,
    long detectionDelayNanos,
    long haltDelayNanos,
    int maxFaultyInstances) {}
