package beaconturn.zones;

/** What one router has reported: last, and about one and two windows ago. For one thread. */
final class RouterEvidence {
  private static final double NANOS_PER_SECOND = 1e9;
  private static final double UNKNOWN_RATE = -1;

  private final long windowNanos;
  private ZoneReport last;
  private long grewAtNanos;
  private ZoneReport older;
  private long olderAtNanos;
  private ZoneReport newer;
  private long newerAtNanos;
  private double requestsPerSecond = UNKNOWN_RATE;

  RouterEvidence(long windowNanos) {
    this.windowNanos = windowNanos;
  }

  /** Takes in the report that stands in the store, which may be the one known already. */
  void update(ZoneReport report, long nowNanos) {
    if (last == null || report.sequenceNumber() > last.sequenceNumber()) {
      last = report;
      grewAtNanos = nowNanos;
      if (older != null) {
        long arrived = last.arrivals() - older.arrivals();
        requestsPerSecond = arrived * NANOS_PER_SECOND / (nowNanos - olderAtNanos);
      }
    }
    if (newer == null || nowNanos - newerAtNanos >= windowNanos) {
      older = newer == null ? last : newer;
      olderAtNanos = newer == null ? grewAtNanos : newerAtNanos;
      newer = last;
      newerAtNanos = grewAtNanos;
    }
  }

  ZoneReport last() {
    return last;
  }

  /** When its reports last grew. */
  long grewAtNanos() {
    return grewAtNanos;
  }

  /** By what it reported last, or less than 0 until it has reported twice. */
  double requestsPerSecond() {
    return requestsPerSecond;
  }

  /** Name and incarnation. */
  String router() {
    return last.router();
  }

  /** The name alone, the same after a restart. */
  String routerName() {
    return last.router().split("/")[0];
  }

  String homeZone() {
    return last.homeZone();
  }

  /** What it has seen of a zone since one to two windows ago. */
  ZoneObservations recent(String zone) {
    ZoneObservations before = older.zones().getOrDefault(zone, ZoneObservations.NONE);
    return latest(zone).since(before);
  }

  /** What it has seen of a zone since its start. */
  ZoneObservations latest(String zone) {
    return last.zones().getOrDefault(zone, ZoneObservations.NONE);
  }
}
