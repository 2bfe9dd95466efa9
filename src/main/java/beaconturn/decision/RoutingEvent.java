package beaconturn.decision;

import java.util.List;

/** Everything that can happen to a router. Times are nanoseconds of the host's clock. */
public sealed interface RoutingEvent {
  /** What a router that this one follows had learned; comes before any request. */
  record WarmStarted(WarmStartState state) implements RoutingEvent {}

  /**
   * An operator takes a server out, whatever the list says, until {@code out} is false again; it
   * then comes back as one that has started at {@code at}.
   */
  record OperatorOverrideChanged(long serverId, boolean excluded, long atNanos)
      implements RoutingEvent {}

  /** News of the server list. */
  record EndpointsUpdated(long version, EndpointListKind kind, List<Endpoint> endpoints)
      implements RoutingEvent {}

  /** A request; {@code hint} is its expected work or 0, {@code key} 0 means none. */
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

  /** The answer of a streamed request has begun. */
  record ResponseStarted(long requestId, long elapsedNanos, long serverId, int attempt)
      implements RoutingEvent {}

  /** An attempt has ended; {@code closed} says that its request needs no further answer. */
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

  /** What a probe found. */
  record ProbeCompleted(
      long serverId, AttemptOutcome outcome, long elapsedNanos, float[] loadReport)
      implements RoutingEvent {}

  /** A message from another router. */
  record PeerMessageReceived(int from, byte[] body) implements RoutingEvent {}

  /** The weights of zones have changed. */
  record ZoneWeightsChanged(ZoneWeights weights) implements RoutingEvent {}
}
