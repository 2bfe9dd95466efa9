package beaconturn.history;

import java.util.Map;

/**
 * Bounds that the invariants check a history against.
 *
 * @param requestClasses bounds of request classes by name
 * @param maxAttempts maximum attempts of one request
 * @param hedgingAllowed whether a second attempt may be sent while the first is in flight
 * @param responseSlackNanos how long after its deadline a response may arrive
 * @param drainGraceNanos how long after the notification a draining server may receive new requests
 * @param sendSlackNanos allowance for the transfer of an attempt through sockets
 * @param maxPollIntervalNanos a router that has not polled for this long counts as notified
 * @param coldSpeedShare share of its full speed that a server has right after a start
 * @param warmUpNanos how long a server warms up
 * @param overloadMultiple multiple of its capacity at which a server may collapse
 * @param overloadNanos how long the overload lasts before a server may collapse
 * @param convergenceNanos how long two routers may act on conflicting versions
 * @param rollout bounds of a release, or null
 * @param zones bounds of zones, or null
 */
public record InvariantBounds(
    Map<String, RequestClassBounds> requestClasses,
    int maxAttempts,
    boolean hedgingAllowed,
    long responseSlackNanos,
    long drainGraceNanos,
    long sendSlackNanos,
    long maxPollIntervalNanos,
    double coldSpeedShare,
    long warmUpNanos,
    double overloadMultiple,
    long overloadNanos,
    long convergenceNanos,
    RolloutBounds rollout,
    ZoneBounds zones) {
  /**
   * Returns the repeat rule of a class; requests of an unknown class must not run more than once.
   */
  RepeatRule repeatRule(String requestClass) {
    RequestClassBounds known = requestClasses.get(requestClass);
    return known == null ? RepeatRule.NEVER : known.repeatRule();
  }
}
