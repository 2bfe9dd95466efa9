package beaconturn.decision;

/**
 * Decides over how many caches clockwise a hot key is spread. With few requests in flight no cache
 * is at its cap, and many routers would overload the one home of such a key.
 */
final class KeySpread {
  /**
   * The most of a cache's even part of all requests that one key may take up, a ratio; the rest is
   * for the cache's other keys.
   */
  private static final double MAX_FILL = 0.5;

  /**
   * The same where the origin is asked beside the caches, so that a spread key costs few fetches.
   */
  private static final double MAX_FILL_ASIDE = 0.17;

  /** A key's share is taken of this many recent requests for each cache. */
  private static final double RECENT_REQUESTS_PER_SERVER = 1;

  private final RoutingSettings settings;
  private final HashRing ring;
  private final KeyPopularity popularity = new KeyPopularity(LruMap.USUAL_CAPACITY);

  KeySpread(RoutingSettings settings, HashRing ring) {
    this.settings = settings;
    this.ring = ring;
  }

  /** Counts a request; returns the share of recent requests that were for its key. */
  double requestArrived(long key, boolean write) {
    if (key == 0 || write) {
      return 0;
    }
    return popularity.count(key, RECENT_REQUESTS_PER_SERVER * Math.max(1, ring.size()));
  }

  /** Over how many caches the request's key is spread: at least one, at most half the routers. */
  int serversFor(RequestState request) {
    int most = Math.min(ring.size(), settings.routerCount() / LoadBounds.MIN_CAP);
    double fill = settings.origin().cacheAside() ? MAX_FILL_ASIDE : MAX_FILL;
    int filled = (int) Math.ceil(request.keyShare() / fill * ring.size());
    return Math.max(1, Math.min(most, filled));
  }
}
