package beaconturn.decision;

import java.util.Map;

/** Cache or origin server of {@link SeededTraffic}. */
final class SeededServer {
  private static final int CAPACITY_KEYS = 60;

  final long id;
  final int kind;
  int zone;
  int cell;
  EndpointHealth health = EndpointHealth.READY;
  double rating = 1;
  long bootTimeNanos;

  /** Factor on response times. */
  double slowness = 1;

  int errorPercent;
  boolean down;
  int inFlight;

  /** Cached keys. */
  final Map<Long, Boolean> keys = new LruMap<>(CAPACITY_KEYS);

  SeededServer(long id, int kind) {
    this.id = id;
    this.kind = kind;
    this.zone = (int) (id % 3);
    this.cell = (int) (id % 4);
  }

  /** Returns the entry in the endpoint list. */
  Endpoint endpoint() {
    return new Endpoint(id, zone, kind, cell, health, rating, bootTimeNanos);
  }
}
