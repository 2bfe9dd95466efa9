package beaconturn.zones;

/**
 * Tells whether a router finds its own zone bad, by its own attempts alone. For the member's
 * thread.
 */
final class HomeZoneEvidence {
  private final String homeZone;
  private final long windowNanos;

  /** The report that began the window, or null. */
  private ZoneReport before;

  private long windowStartNanos;
  private boolean bad;

  HomeZoneEvidence(String homeZone, long windowNanos) {
    this.homeZone = homeZone;
    this.windowNanos = windowNanos;
  }

  boolean isWindowOver(long nowNanos) {
    return before == null || nowNanos - windowStartNanos >= windowNanos;
  }

  /** Judges the window that ends with the report, and begins the next. */
  void endWindow(ZoneReport report, long nowNanos) {
    if (before != null) {
      ZoneObservations seen = observations(report).since(observations(before));
      bad = ZoneHealthRules.viewOf(seen) == ZoneHealth.BROKEN || seen.listedServers() == 0;
    }
    before = report;
    windowStartNanos = nowNanos;
  }

  private ZoneObservations observations(ZoneReport report) {
    return report.zones().getOrDefault(homeZone, ZoneObservations.NONE);
  }

  boolean isBad() {
    return bad;
  }
}
