package beaconturn.stats;

/** Where the work of one process is counted; any thread may call, and no call waits. */
public interface RequestMetrics {
  /** Counts nothing: for a router whose metrics nobody can ask for. */
  RequestMetrics NONE = new RequestMetrics() {};

  /** A request has been accepted. */
  default void requestAccepted() {}

  /** A request that had been accepted is over; its class is the one that it was accepted with. */
  default void requestEnded(String requestClass, RequestEnd end) {}

  /** An attempt has been written whole to a cache server. */
  default void attemptWritten() {}

  /** A request has been answered that was to be answered by this time of the router's clock. */
  default void answeredWithObjective(long objectiveAtNanos) {}

  /** A request has come to the routing policy. */
  default void requestRouted() {}

  /**
   * An attempt is over.
   *
   * @param serverId of its cache server
   * @param answered whether the cache server answered it
   * @param lookup how the cache server had the key
   * @param tookNanos from its sending to its end
   * @param late whether it was over after the latency objective of its class
   */
  default void attemptEnded(
      long serverId, boolean answered, CacheLookup lookup, long tookNanos, boolean late) {}

  /** How many cache servers are listed, and how many of them are excluded or ejected. */
  default void serverCounts(int listed, int avoided) {}

  /** A configuration was accepted at a reload, or not. */
  default void configReloaded(boolean accepted) {}

  /**
   * The settings in force have this class, which is shown from now on though nothing is counted.
   */
  default void declareClass(String requestClass) {}
}
