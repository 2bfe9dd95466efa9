package beaconturn.history;

import java.util.List;

/**
 * What is promised of zones.
 *
 * @param planned whether routers follow one plan of zone weights; where not, nothing is promised
 * @param routerZones zone of each router, by its number
 * @param recoveryNanos so long after the last fault all keys are served in their own zone again
 * @param trialShare share of requests that is sent to other zones at all times
 * @param serverRequestsPerSecond requests a second that one cache server carries; more than a part
 *     of what a zone carries with one of its servers gone counts as a fault
 * @param maxZoneLoad load of a zone in a second, as a multiple of its capacity
 */
public record ZoneBounds(
    boolean planned,
    List<String> routerZones,
    long recoveryNanos,
    double trialShare,
    double serverRequestsPerSecond,
    double maxZoneLoad) {}
