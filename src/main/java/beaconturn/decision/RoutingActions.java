package beaconturn.decision;

/**
 * What a routing policy can have done by its host. Every call takes effect at the time of the event
 * that is being handled, on its thread, and none calls the policy back.
 */
public interface RoutingActions {
  /** Starts the request's next attempt; it ends as timed out after {@code timeoutNanos}. */
  void send(long requestId, long serverId, long timeoutNanos);

  /** Stops waiting for one attempt; its end is an event all the same. */
  void cancel(long requestId, int attempt);

  /**
   * Final answer: rejected, and safe to try again after {@code retryAfterNanos} (0 for no advice).
   */
  void reject(long requestId, long retryAfterNanos, GiveUpReason reason);

  /** Final answer: failed, with nothing promised. */
  void fail(long requestId, GiveUpReason reason);

  /** Asks for a {@link RoutingEvent.TimerFired} that brings the token back. */
  void setTimer(long delayNanos, long token);

  /** Subscribes to the endpoint list and its changes, or unsubscribes. */
  void watchEndpoints(boolean on);

  /** Asks once for the whole endpoint list. */
  void fetchEndpoints();

  /** Sends a health check to a server. */
  void probe(long serverId);

  /** Sends bytes to one peer router, or to all of them with -1. */
  void sendToPeer(int peer, byte[] body);

  /** Closes the idle connections to a server. */
  void closeIdleConnections(long serverId);

  /** Adds a line to the operator's log. */
  void log(String text);
}
