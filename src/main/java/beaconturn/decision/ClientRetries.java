package beaconturn.decision;

import java.util.Map;

/**
 * Records requests that ended without a response, so that the latency objective of a client retry
 * is measured from the client's first request. Clients retry at the router that gave up their
 * request.
 */
final class ClientRetries {
  /**
   * Separates tenants in the hash of a logical request; larger than the number of request classes.
   */
  private static final long TENANT_STRIDE = 64;

  /** End of the latency objective by logical request, in nanoseconds. */
  private final Map<Long, Long> objectiveEndNanosByRequest = new LruMap<>(LruMap.DEFAULT_CAPACITY);

  private final EventClock clock;

  ClientRetries(EventClock clock) {
    this.clock = clock;
  }

  /**
   * Identifies the logical request that all retries of a client share: key, tenant and request
   * class.
   */
  long logicalRequest(RoutingEvent.RequestArrived arrival) {
    long tenantAndClass = arrival.tenant() * TENANT_STRIDE + arrival.requestClass();
    return KeyHash.mix(arrival.key() ^ KeyHash.mix(tenantAndClass));
  }

  /** Returns until when a response to an arriving request meets its objective, in nanoseconds. */
  long objectiveEndNanos(
      RoutingEvent.RequestArrived arrival, RequestClass requestClass, long logicalRequest) {
    long endNanos = clock.nowNanos() + requestClass.latencyObjectiveNanos();
    Long earlierEndNanos =
        arrival.clientRetry() ? objectiveEndNanosByRequest.remove(logicalRequest) : null;
    return earlierEndNanos == null ? endNanos : Math.min(earlierEndNanos, endNanos);
  }

  /** Records a request that ended without a response. */
  void requestUnanswered(RequestState request) {
    objectiveEndNanosByRequest.put(request.logicalRequest(), request.objectiveEndNanos());
  }
}
