package beaconturn.standin;

/**
 * A cache server's side of one connection, implemented by a socket front and called by the model on
 * its thread.
 */
public interface CacheServerConnection {
  /** Sends a response; responses are passed in the order of their commands. */
  void respond(CacheResponse response);

  /**
   * Resets the connection, as the death of a process does, and reports its end to the session
   * before it returns.
   */
  void reset();
}
