package beaconturn.core;

/** The routing thread's access to the cache servers. Routing thread only; no call may block. */
public interface CacheServerClients {
  /**
   * Starts an attempt, whose result arrives as a message; false if the attempt cannot be started
   * and nothing will be written.
   */
  boolean send(OutboundAttempt attempt);

  /** Closes the connection of an ended attempt before this call returns; no message follows. */
  void abort(OutboundAttempt attempt);

  /** Closes idle connections to a cache server. */
  void closeIdle(long serverId);

  /** Applies an endpoint update. */
  void applyUpdate(EndpointUpdate update);

  /**
   * Sets or lifts an operator's exclusion of a cache server; an excluded server gets no new
   * attempts, whatever its state in the endpoint list. False, without effect, if no listed server
   * has that id and {@code allowUnlisted} is not set.
   */
  boolean override(long serverId, boolean excluded, boolean allowUnlisted);

  /**
   * A cache server as stated in the endpoint list.
   *
   * @param name the server's name
   * @param zone the index of its zone in the settings
   * @param bootTimeNanos when it started, in nanoseconds since the Unix epoch; 0 if unknown
   */
  record ListedServer(String name, int zone, long bootTimeNanos) {}

  /** The cache server with that id, or null if none is listed. */
  default ListedServer listed(long serverId) {
    return null;
  }
}
