package beaconturn.zones;

/**
 * Decides from a router's own attempts whether its home zone is unhealthy, for use without a lease
 * on a plan. Confined to the member's thread.
 */
final class HomeZoneEvidence {
  private final String homeZone;
  private final long windowNanos;

  /** The report at the start of the window, or null before the first window. */
  private ZoneReport windowStartReport;

  private long windowStartNanos;
  private boolean unhealthy;

  HomeZoneEvidence(String homeZone, long windowNanos) {
    this.homeZone = homeZone;
    this.windowNanos = windowNanos;
  }

  boolean isWindowOver(long nowNanos) {
    return windowStartReport == null || nowNanos - windowStartNanos >= windowNanos;
  }

  /** Evaluates the window that ends with the report and starts the next one. */
  void endWindow(ZoneReport report, long nowNanos) {
    if (windowStartReport != null) {
      ZoneObservations observations = observations(report).since(observations(windowStartReport));
      unhealthy =
          ZoneHealthRules.viewOf(observations) == ZoneHealth.BROKEN
              || observations.listedServers() == 0;
    }
    windowStartReport = report;
    windowStartNanos = nowNanos;
  }

  private ZoneObservations observations(ZoneReport report) {
    return report.zones().getOrDefault(homeZone, ZoneObservations.NONE);
  }

  boolean isUnhealthy() {
    return unhealthy;
  }
}
