package beaconturn.history;

import java.util.List;

/**
 * Bounds of the traffic between zones.
 *
 * @param planned whether routers follow one plan of zone weights; otherwise nothing is checked
 * @param routerZones zone of each router, by index
 * @param recoveryNanos time after the last fault within which all keys return to their own zone
 * @param trialShare share of requests that is always sent to other zones
 * @param serverRequestsPerSecond capacity of one cache server; high demand relative to the capacity
 *     of a zone without one of its servers counts as a fault
 * @param maxZoneLoad maximum load of a zone in a second, as a multiple of its capacity
 */
public record ZoneBounds(
    boolean planned,
    List<String> routerZones,
    long recoveryNanos,
    double trialShare,
    double serverRequestsPerSecond,
    double maxZoneLoad) {}
