package beaconturn.decision;

/** Bounded loads: how much one cache may have in flight, and when it counts as full before that. */
final class LoadBounds {
  /** The cap never falls below this, so that few requests in flight do not scatter the keys. */
  static final int MIN_CAP = 2;

  /** A cache may hold this much more than the mean, a ratio; the article gives 0.15 to 0.25. */
  private static final double MAX_EXCESS = 0.2;

  /**
   * The same where caches fetch what they lack: a request that goes past its cache is a fetch at
   * the next one, holds capacity there and so sends more requests past that.
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

  /** The most that one of so many caches may hold when one more request is sent. */
  int cap(int servers) {
    return cap(load.inFlightAtCaches(), servers, excess);
  }

  /**
   * The most that a cache may hold when one more request joins {@code total} in flight on so many
   * caches, and each may exceed the mean by the ratio {@code excess}.
   */
  static int cap(int total, int servers, double excess) {
    double bound = (1 + excess) * (total + 1) / Math.max(1, servers);
    return Math.max(MIN_CAP, (int) Math.ceil(bound));
  }

  /**
   * Whether a cache below its cap counts as full all the same. One reason is its smoothed load:
   * with many routers the least cap alone would let them pile up twice their number on one home. So
   * a cache whose smoothed load exceeds the bound on this router's even part of the least cap gets
   * one request at a time; where caches fetch, the bound is on the mean if that is more. The other
   * reason is a recent load report that is far above the mean.
   */
  boolean isFull(ServerState server, int servers) {
    // A request that goes past its cache is a fetch there: without room at the origin, reports do
    // not count.
    boolean reportedFull =
        originLimit.hasAmpleCapacity() && reports.isFarAboveMean(server, load.smoothingNanos());
    double evenShare = (double) MIN_CAP / settings.routerCount();
    double mean = settings.origin().cacheAside() ? 0 : load.smoothedAtCaches() / servers;
    double bound = (1 + excess) * Math.max(evenShare, mean);
    return reportedFull || (server.load().inFlight() > 0 && load.smoothedAt(server) > bound);
  }
}
