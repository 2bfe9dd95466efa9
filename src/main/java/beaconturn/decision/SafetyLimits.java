package beaconturn.decision;

/**
 * The figures behind the four rules; with {@code softRemoval} only the state of draining binds, and
 * one that the list calls gone, or leaves out, without it may still be sent to.
 */
public record SafetyLimits(
    long answerSlackNanos,
    long pollIntervalNanos,
    double coldCapacityShare,
    long warmUpNanos,
    long drainGraceNanos,
    double overloadMultiple,
    long overloadNanos,
    boolean removalIsAdvisory) {}
