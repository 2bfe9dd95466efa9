package beaconturn.decision;

/**
 * How the origin is reached.
 *
 * @param cacheAside whether the router itself fetches from the origin on a cache miss (cache-aside
 *     mode); otherwise caches fetch (read-through mode)
 * @param kind server kind of origins, in cache-aside mode
 * @param orderedResponses whether responses arrive in request order; currently unused
 * @param reportsCacheHits whether responses of read-through caches distinguish hits from misses
 * @param overloadNanos duration of an origin overload; currently unused
 * @param overloadMultiple load of an origin overload, as a multiple of its capacity; currently
 *     unused
 */
public record OriginSettings(
    boolean cacheAside,
    int kind,
    boolean orderedResponses,
    boolean reportsCacheHits,
    long overloadNanos,
    double overloadMultiple) {}
