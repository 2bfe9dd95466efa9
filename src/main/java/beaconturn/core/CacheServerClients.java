package beaconturn.core;

/** The cache servers as the module's thread acts on them; no call may block. */
public interface CacheServerClients {
  /**
   * Starts an attempt, whose outcome comes back as a message; false if nothing was or will be sent.
   */
  boolean send(OutboundAttempt attempt);

  /** Ends an attempt that is over on the wire, before it returns; nothing comes back. */
  void abort(OutboundAttempt attempt);

  /** Closes idle connections to a cache server. */
  void closeIdle(long server);

  /** Follows news of the list. */
  void follow(EndpointUpdate news);

  /**
   * Begins nothing new at a cache server that is out by hand, whatever the list says, until it is
   * back; false, and nothing happens, if nobody has that number, unless it {@code mayCome}.
   */
  boolean byHand(long server, boolean out, boolean mayCome);

  /**
   * A cache server as the list has it, in that zone; {@code bootTime} is when it started, 0 for
   * long ago.
   */
  record Listed(String name, int zone, long bootTime) {}

  /** What the list says of a cache server, or null if nobody has that number. */
  default Listed listed(long server) {
    return null;
  }
}
