package beaconturn.standin;

/** One connection as a cache server sees it; made by a front, called by the model on its thread. */
public interface CacheServerConnection {
  /** Sends an answer; they come in the order of the commands. */
  void respond(CacheResponse response);

  /**
   * Ends the connection as a process that dies does, and tells the session so before it returns.
   */
  void reset();
}
