package beaconturn.decision;

/**
 * Bounded-load limits: how many requests one cache may have in flight, and when it counts as full
 * below that cap.
 */
final class LoadBounds {
  /** Lower bound of the cap, so that keys stay at their homes while few requests are in flight. */
  static final int MIN_CAP = 2;

  /** Ratio by which a cache may exceed the mean load; the literature recommends 0.15 to 0.25. */
  private static final double MAX_EXCESS = 0.2;

  /**
   * {@link #MAX_EXCESS} in read-through mode, where a request that overflows to the next cache
   * causes a fetch, which occupies capacity there and makes further requests overflow.
   */
  private static final double MAX_EXCESS_READ_THROUGH = 0.9;

  private final RoutingSettings settings;
  private final FleetLoad load;
  private final LoadReports reports;
  private final ConcurrencyLimit originLimit;
  private final double excess;

  LoadBounds(
      RoutingSettings settings, FleetLoad load, LoadReports reports, ConcurrencyLimit originLimit) {
    this.settings = settings;
    this.load = load;
    this.reports = reports;
    this.originLimit = originLimit;
    this.excess = settings.origin().cacheAside() ? MAX_EXCESS : MAX_EXCESS_READ_THROUGH;
  }

  /** Returns the cap for one of {@code servers} caches when one more request is sent. */
  int cap(int servers) {
    return cap(load.inFlightAtCaches(), servers, excess);
  }

  /**
   * Returns the cap when one more request joins {@code totalInFlight} requests in flight on {@code
   * servers} caches, and each cache may exceed the mean by the ratio {@code excess}.
   */
  static int cap(int totalInFlight, int servers, double excess) {
    double bound = (1 + excess) * (totalInFlight + 1) / Math.max(1, servers);
    return Math.max(MIN_CAP, (int) Math.ceil(bound));
  }

  /**
   * Whether a cache below its cap counts as full. One reason is its smoothed load: with only the
   * minimum cap, many routers together could pile up twice their number of requests on one home. A
   * cache whose smoothed load exceeds the bound on this router's even share of the minimum cap gets
   * one request at a time; in read-through mode the bound is on the mean load if that is larger.
   * The other reason is a recent load report far above the mean.
   */
  boolean isFull(ServerState server, int servers) {
    // A request that overflows to another cache causes a fetch, so that load reports are ignored
    // while the origin lacks capacity.
    boolean reportedFull =
        originLimit.hasAmpleCapacity() && reports.isFarAboveMean(server, load.smoothingNanos());
    double evenShare = (double) MIN_CAP / settings.routerCount();
    double mean = settings.origin().cacheAside() ? 0 : load.smoothedAtCaches() / servers;
    double bound = (1 + excess) * Math.max(evenShare, mean);
    return reportedFull || (server.load().inFlight() > 0 && load.smoothedAt(server) > bound);
  }
}
