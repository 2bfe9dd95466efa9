package beaconturn.decision;

/**
 * Actions that a routing policy requests from its host. Each call takes effect at the time of the
 * event being handled, on its thread, and never calls the policy back.
 */
public interface RoutingActions {
  /** Starts the next attempt of the request, which times out after {@code timeoutNanos}. */
  void send(long requestId, long serverId, long timeoutNanos);

  /** Cancels an attempt; the end of the attempt is still reported as an event. */
  void cancel(long requestId, int attempt);

  /**
   * Completes the request as rejected; the client may retry after {@code retryAfterNanos} (0 for no
   * advice).
   */
  void reject(long requestId, long retryAfterNanos, GiveUpReason reason);

  /** Completes the request as failed; its effect is unknown. */
  void fail(long requestId, GiveUpReason reason);

  /** Requests a {@link RoutingEvent.TimerFired} event with the token after the delay. */
  void setTimer(long delayNanos, long token);

  /** Subscribes to the endpoint list and its changes, or unsubscribes. */
  void watchEndpoints(boolean on);

  /** Requests the complete endpoint list once. */
  void fetchEndpoints();

  /** Sends a health check to a server. */
  void probe(long serverId);

  /** Sends a message to one peer router, or to all of them with -1. */
  void sendToPeer(int peer, byte[] body);

  /** Closes the idle connections to a server. */
  void closeIdleConnections(long serverId);

  /** Adds a line to the operator's log. */
  void log(String text);
}
