package beaconturn.zones;

/**
 * Tracks the reports of one router: the latest report, and baselines that are one and two windows
 * old. Not thread-safe.
 */
final class RouterEvidence {
  private static final double NANOS_PER_SECOND = 1e9;
  private static final double UNKNOWN_RATE = -1;

  private final long windowNanos;
  private ZoneReport latestReport;
  private long advancedAtNanos;
  private ZoneReport baseline;
  private long baselineAtNanos;
  private ZoneReport nextBaseline;
  private long nextBaselineAtNanos;
  private double requestsPerSecond = UNKNOWN_RATE;

  RouterEvidence(long windowNanos) {
    this.windowNanos = windowNanos;
  }

  /** Records the report that the store holds, which may be one that was recorded before. */
  void update(ZoneReport report, long nowNanos) {
    if (latestReport == null || report.sequenceNumber() > latestReport.sequenceNumber()) {
      latestReport = report;
      advancedAtNanos = nowNanos;
      if (baseline != null) {
        long newArrivals = latestReport.arrivals() - baseline.arrivals();
        requestsPerSecond = newArrivals * NANOS_PER_SECOND / (nowNanos - baselineAtNanos);
      }
    }
    if (nextBaseline == null || nowNanos - nextBaselineAtNanos >= windowNanos) {
      baseline = nextBaseline == null ? latestReport : nextBaseline;
      baselineAtNanos = nextBaseline == null ? advancedAtNanos : nextBaselineAtNanos;
      nextBaseline = latestReport;
      nextBaselineAtNanos = advancedAtNanos;
    }
  }

  ZoneReport latestReport() {
    return latestReport;
  }

  /** Returns when the sequence number of the reports last advanced. */
  long advancedAtNanos() {
    return advancedAtNanos;
  }

  /** Returns the latest request rate; negative until the router has reported twice. */
  double requestsPerSecond() {
    return requestsPerSecond;
  }

  /** Returns the name and the incarnation, separated by a slash. */
  String router() {
    return latestReport.router();
  }

  /** Returns the name without the incarnation; it is the same after a restart. */
  String routerName() {
    return latestReport.router().split("/")[0];
  }

  String homeZone() {
    return latestReport.homeZone();
  }

  /** Returns the observations of a zone over the last one to two windows. */
  ZoneObservations recentObservations(String zone) {
    ZoneObservations before = baseline.zones().getOrDefault(zone, ZoneObservations.NONE);
    return latestObservations(zone).since(before);
  }

  /** Returns the observations of a zone since the start of the router's process. */
  ZoneObservations latestObservations(String zone) {
    return latestReport.zones().getOrDefault(zone, ZoneObservations.NONE);
  }
}
