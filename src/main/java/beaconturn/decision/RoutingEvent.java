package beaconturn.decision;

import java.util.List;

/**
 * Events that a routing policy receives. Times are nanoseconds of the host's monotonic clock,
 * durations are nanoseconds.
 */
public sealed interface RoutingEvent {
  /** State learned by the predecessor of this router; precedes any request. */
  record WarmStarted(WarmStartState state) implements RoutingEvent {}

  /**
   * An operator's override of one server has changed.
   *
   * @param excluded whether the server is kept out of service regardless of the endpoint list; when
   *     that ends, the server counts as started
   * @param atNanos when the operator made the change
   */
  record OperatorOverrideChanged(long serverId, boolean excluded, long atNanos)
      implements RoutingEvent {}

  /**
   * An endpoint list, a change of it, or a failure to retrieve it.
   *
   * @param version version assigned by discovery
   */
  record EndpointsUpdated(long version, EndpointListKind kind, List<Endpoint> endpoints)
      implements RoutingEvent {}

  /**
   * A request has arrived.
   *
   * @param tenant index among the configured tenants
   * @param workHintNanos expected work; 0 if unknown
   * @param key identifies the requested key; 0 for none
   * @param requestClass index among the configured classes
   * @param remainingNanos how long the client still waits
   * @param clientRetry whether the client has sent this request before
   * @param size size of the request according to its client; currently unused
   */
  record RequestArrived(
      long requestId,
      int tenant,
      long workHintNanos,
      long key,
      int requestClass,
      long remainingNanos,
      boolean clientRetry,
      boolean write,
      double size)
      implements RoutingEvent {}

  /** A streamed response has started to be sent to the client. */
  record ResponseStarted(long requestId, long elapsedNanos, long serverId, int attempt)
      implements RoutingEvent {}

  /**
   * An attempt has ended.
   *
   * @param elapsedNanos duration of the attempt
   * @param requestClosed whether the request needs no further response
   * @param attempt index of the attempt in its request, from 0
   * @param loadReport values of the configured load report fields; may be empty
   */
  record AttemptClosed(
      long requestId,
      long elapsedNanos,
      boolean requestClosed,
      long serverId,
      AttemptOutcome outcome,
      CacheStatus cacheStatus,
      int attempt,
      float[] loadReport)
      implements RoutingEvent {}

  /** The client has disconnected and expects no response. */
  record RequestCancelled(long requestId) implements RoutingEvent {}

  /** A timer has expired. */
  record TimerFired(long token) implements RoutingEvent {}

  /** A health check has ended. */
  record ProbeCompleted(
      long serverId, AttemptOutcome outcome, long elapsedNanos, float[] loadReport)
      implements RoutingEvent {}

  /** A message from another router has arrived. */
  record PeerMessageReceived(int from, byte[] body) implements RoutingEvent {}

  /** The zone weights have changed. */
  record ZoneWeightsChanged(ZoneWeights weights) implements RoutingEvent {}
}
