package beaconturn.decision;

import java.util.List;

/**
 * Everything that can happen to a router. Times are nanoseconds of the host's monotonic clock,
 * lengths of time are nanoseconds.
 */
public sealed interface RoutingEvent {
  /** What a router that this one follows had learned; comes before any request. */
  record WarmStarted(WarmStartState state) implements RoutingEvent {}

  /**
   * An operator's override of one server has changed.
   *
   * @param excluded whether it is kept out of use, whatever the endpoint list says; when that ends
   *     it counts as started
   * @param atNanos when the operator decided
   */
  record OperatorOverrideChanged(long serverId, boolean excluded, long atNanos)
      implements RoutingEvent {}

  /**
   * An endpoint list, a change of it, or the failure to get it.
   *
   * @param version the version that discovery gives it
   */
  record EndpointsUpdated(long version, EndpointListKind kind, List<Endpoint> endpoints)
      implements RoutingEvent {}

  /**
   * A request has arrived.
   *
   * @param tenant index among the tenants of the settings
   * @param workHintNanos the work that it is expected to need; 0 for unknown
   * @param key the key that it is for; 0 for none
   * @param requestClass index among the classes of the settings
   * @param remainingNanos how long its client still waits
   * @param clientRetry whether its client has tried before
   * @param size its size as its client tells it; no rule uses it
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

  /** The answer of a streamed request has begun to go to the client. */
  record ResponseStarted(long requestId, long elapsedNanos, long serverId, int attempt)
      implements RoutingEvent {}

  /**
   * An attempt has ended.
   *
   * @param elapsedNanos how long it took
   * @param requestClosed whether its request needs no further answer
   * @param attempt its number in the request, from 0
   * @param loadReport the figures that came with the answer, by the fields of the settings; may be
   *     empty
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

  /** The client has left; no answer is owed. */
  record RequestCancelled(long requestId) implements RoutingEvent {}

  /** A timer set earlier is due. */
  record TimerFired(long token) implements RoutingEvent {}

  /** A health check has ended. */
  record ProbeCompleted(
      long serverId, AttemptOutcome outcome, long elapsedNanos, float[] loadReport)
      implements RoutingEvent {}

  /** A message from another router has arrived. */
  record PeerMessageReceived(int from, byte[] body) implements RoutingEvent {}

  /** The weights of zones have changed. */
  record ZoneWeightsChanged(ZoneWeights weights) implements RoutingEvent {}
}
