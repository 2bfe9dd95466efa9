package beaconturn.decision;

/**
 * Decides over how many caches clockwise from its home a hot key is spread. When each router has
 * few requests in flight, no cache reaches its cap, and many routers together would overload the
 * home of a hot key.
 */
final class KeySpread {
  /**
   * Fraction of a cache's even share of requests that a single key may use; the rest is for the
   * cache's other keys.
   */
  private static final double MAX_CAPACITY_SHARE = 0.5;

  /** {@link #MAX_CAPACITY_SHARE} in cache-aside mode, where spreading a key costs few fetches. */
  private static final double MAX_CAPACITY_SHARE_CACHE_ASIDE = 0.17;

  /** Number of recent requests per cache over which a key's share is computed. */
  private static final double RECENT_REQUESTS_PER_SERVER = 1;

  private final RoutingSettings settings;
  private final HashRing ring;
  private final KeyPopularity popularity = new KeyPopularity(LruMap.DEFAULT_CAPACITY);

  KeySpread(RoutingSettings settings, HashRing ring) {
    this.settings = settings;
    this.ring = ring;
  }

  /**
   * Counts a request; returns its key's share of recent requests, or 0 for writes and without a
   * key.
   */
  double requestArrived(long key, boolean write) {
    if (key == 0 || write) {
      return 0;
    }
    return popularity.countRequest(key, RECENT_REQUESTS_PER_SERVER * Math.max(1, ring.size()));
  }

  /**
   * Returns the number of caches for the request's key: at least one, at most half the number of
   * routers.
   */
  int serverCountFor(RequestState request) {
    int maxServers = Math.min(ring.size(), settings.routerCount() / LoadBounds.MIN_CAP);
    double maxCapacityShare =
        settings.origin().cacheAside() ? MAX_CAPACITY_SHARE_CACHE_ASIDE : MAX_CAPACITY_SHARE;
    int neededServers = (int) Math.ceil(request.keyShare() / maxCapacityShare * ring.size());
    return Math.max(1, Math.min(maxServers, neededServers));
  }
}
