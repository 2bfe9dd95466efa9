package beaconturn.core;

/** The cache servers as the routing thread acts on them. Routing thread only; no call may block. */
public interface CacheServerClients {
  /**
   * Starts an attempt, whose result comes back as a message; false if nothing was or will be sent.
   */
  boolean send(OutboundAttempt attempt);

  /** Ends an attempt that is over on the wire, before it returns; nothing comes back. */
  void abort(OutboundAttempt attempt);

  /** Closes idle connections to a cache server. */
  void closeIdle(long serverId);

  /** Follows a change of the endpoint list. */
  void follow(EndpointUpdate update);

  /**
   * Begins nothing new at a cache server that an operator has excluded, whatever the endpoint list
   * says, until it is taken back; false, and nothing happens, if no listed server has that number,
   * unless it {@code allowUnlisted}.
   */
  boolean override(long serverId, boolean excluded, boolean allowUnlisted);

  /**
   * A cache server as the endpoint list has it.
   *
   * @param name its name
   * @param zone its zone, by the order of the settings
   * @param bootTimeNanos when it started, by the router's clock; 0 for long ago
   */
  record ListedServer(String name, int zone, long bootTimeNanos) {}

  /** What the endpoint list says of a cache server, or null if none has that number. */
  default ListedServer listed(long serverId) {
    return null;
  }
}
