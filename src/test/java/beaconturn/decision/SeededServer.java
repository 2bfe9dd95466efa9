package beaconturn.decision;

import java.util.Map;

/** A cache or origin server of {@link SeededTraffic}, and how it is doing at the moment. */
final class SeededServer {
  private static final int CAPACITY_KEYS = 60;

  final long id;
  final int kind;
  int zone;
  int cell;
  EndpointHealth health = EndpointHealth.READY;
  double rating = 1;
  long bootTime;

  /** Its answer times are this multiple of the usual. */
  double slowness = 1;

  int errorPercent;
  boolean down;
  int inFlight;

  /** The keys that it holds. */
  final Map<Long, Boolean> keys = new LruMap<>(CAPACITY_KEYS);

  SeededServer(long id, int kind) {
    this.id = id;
    this.kind = kind;
    this.zone = (int) (id % 3);
    this.cell = (int) (id % 4);
  }

  /** Its entry in the endpoint list. */
  Endpoint endpoint() {
    return new Endpoint(id, zone, kind, cell, health, rating, bootTime);
  }
}
