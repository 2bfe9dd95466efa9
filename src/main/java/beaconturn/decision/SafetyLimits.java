package beaconturn.decision;

/**
 * Parameters of the safety rules: every request gets a response, no effect happens twice, draining
 * servers get no requests, warming servers are not overloaded.
 *
 * @param responseSlackNanos how long after its deadline a response may still arrive
 * @param pollIntervalNanos poll interval of the endpoint list
 * @param coldCapacityShare share of its capacity that a server has when it starts
 * @param warmUpNanos duration of the warm-up
 * @param drainGraceNanos how long after notification of a drain requests may still be sent;
 *     currently unused, since none are sent
 * @param overloadMultiple multiple of its capacity at which a server is overloaded
 * @param overloadNanos how long an overload has to last to count
 * @param removalIsAdvisory whether only the draining state is binding; requests may then still be
 *     sent to a server that the list omits or reports as gone
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
