package beaconturn.decision;

/**
 * Where the origin stands: {@code aside} misses go to servers of {@code kind}; else caches fetch,
 * and {@code tellsHits} says whether their answers tell that.
 */
public record OriginSettings(
    boolean aside,
    int kind,
    boolean ordered,
    boolean reportsCacheHits,
    long overloadNanos,
    double overloadMultiple) {}
