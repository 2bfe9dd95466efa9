package beaconturn.decision;

import java.util.Map;

/**
 * Requests that were not answered, for their clients' next tries: the latency objective counts from
 * the first try. A client comes back to the router that gave its request up.
 */
final class ClientRetries {
  /** Keeps tenants apart in the hash of a logical request: more than there are classes. */
  private static final long TENANT_STRIDE = 64;

  /** When the objective of an unanswered logical request ends, in nanoseconds. */
  private final Map<Long, Long> objectiveEnds = new LruMap<>(LruMap.USUAL_CAPACITY);

  private final EventClock clock;

  ClientRetries(EventClock clock) {
    this.clock = clock;
  }

  /** What all tries of one request by its client have in common: key, tenant and class. */
  long logicalRequest(RoutingEvent.RequestArrived arrival) {
    long tenantAndClass = arrival.tenant() * TENANT_STRIDE + arrival.requestClass();
    return KeyHash.mix(arrival.key() ^ KeyHash.mix(tenantAndClass));
  }

  /** Until when an answer to a request that arrives now meets its objective, in nanoseconds. */
  long objectiveEndsNanos(
      RoutingEvent.RequestArrived arrival, RequestClass type, long logicalRequest) {
    long endsNanos = clock.nowNanos() + type.latencyObjectiveNanos();
    Long earlier = arrival.clientRetry() ? objectiveEnds.remove(logicalRequest) : null;
    return earlier == null ? endsNanos : Math.min(earlier, endsNanos);
  }

  /** A request has ended without an answer. */
  void unanswered(RequestState request) {
    objectiveEnds.put(request.logicalRequest(), request.objectiveEndsNanos());
  }
}
