package beaconturn.decision;

/**
 * The figures behind the four rules: no request lost, no effect twice, drains kept, servers that
 * warm up not overloaded.
 *
 * @param responseSlackNanos how late past its deadline an answer may be
 * @param pollIntervalNanos how often the endpoint list is asked for
 * @param coldCapacityShare part of its capacity that a server has when it starts
 * @param warmUpNanos how long a server warms up
 * @param drainGraceNanos how long after a notified drain requests may still be sent; no rule uses
 *     it, as none is sent
 * @param overloadMultiple a server is overloaded at this multiple of its capacity
 * @param overloadNanos how long an overload has to last to count
 * @param removalIsAdvisory whether only the state of draining binds; a server that the list calls
 *     gone, or leaves out, may then still be sent to
 */
public record SafetyLimits(
    long responseSlackNanos,
    long pollIntervalNanos,
    double coldCapacityShare,
    long warmUpNanos,
    long drainGraceNanos,
    double overloadMultiple,
    long overloadNanos,
    boolean removalIsAdvisory) {}
