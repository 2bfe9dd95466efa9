package beaconturn.history;

import java.util.Map;

/**
 * Bounds that invariants hold a history to.
 *
 * @param requestClasses bounds of request classes by name
 * @param maxAttempts attempts of one request
 * @param hedgingAllowed whether a second attempt may be in flight while the first is
 * @param answerSlackNanos how much later than its deadline an answer may come
 * @param drainGraceNanos how long after the notification a draining server may get new requests
 * @param sendSlackNanos allowance for the way of an attempt through sockets
 * @param pollWithinNanos a router that polls nothing for so long counts as notified
 * @param coldSpeedShare share of its speed that a server has right after a start
 * @param warmUpNanos how long a server takes to warm up
 * @param overloadMultiple multiple of its capacity at which a server may collapse
 * @param overloadNanos how long it must get that much to collapse
 * @param convergenceNanos how long two routers may act on contradicting versions
 * @param rollout bounds of a release, or null
 * @param zones bounds of zones, or null
 */
public record InvariantBounds(
    Map<String, RequestClassBounds> requestClasses,
    int maxAttempts,
    boolean hedgingAllowed,
    long answerSlackNanos,
    long drainGraceNanos,
    long sendSlackNanos,
    long pollWithinNanos,
    double coldSpeedShare,
    long warmUpNanos,
    double overloadMultiple,
    long overloadNanos,
    long convergenceNanos,
    RolloutBounds rollout,
    ZoneBounds zones) {
  /** The repeat rule of a class; a class that is unknown must not run more than once. */
  RepeatRule repeatRule(String requestClass) {
    RequestClassBounds known = requestClasses.get(requestClass);
    return known == null ? RepeatRule.NEVER : known.repeatRule();
  }
}
