package beaconturn.decision;

/**
 * Where the origin is, and how it is reached.
 *
 * @param cacheAside whether the router itself asks the origin for what a cache lacks; else caches fetch
 * @param kind the kind of servers that are origins, where the router asks them
 * @param orderedResponses whether answers come in the order of requests; no rule uses it
 * @param reportsCacheHits whether answers of caches that fetch tell hits from misses
 * @param overloadNanos the length of an overload of the origin; no rule uses it
 * @param overloadMultiple the load of an overload, as a multiple; no rule uses it
 */
public record OriginSettings(
    boolean cacheAside,
    int kind,
    boolean orderedResponses,
    boolean reportsCacheHits,
    long overloadNanos,
    double overloadMultiple) {}
