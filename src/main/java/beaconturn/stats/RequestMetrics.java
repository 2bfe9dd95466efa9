package beaconturn.stats;

/** Receives the events that the metrics of one process count. Any thread; never blocks. */
public interface RequestMetrics {
  /** Counts nothing: for a router that exports no metrics. */
  RequestMetrics NONE = new RequestMetrics() {};

  /** A request was accepted. */
  default void requestAccepted() {}

  /** An accepted request of that class ended. */
  default void requestEnded(String requestClass, RequestEnd end) {}

  /** An attempt's request was completely written to a cache server. */
  default void attemptWritten() {}

  /** A request whose latency objective ends at this time of the router's clock succeeded. */
  default void requestSucceeded(long objectiveAtNanos) {}

  /** A request was passed to the routing policy. */
  default void requestRouted() {}

  /**
   * An attempt ended.
   *
   * @param serverId the id of the cache server
   * @param responded whether the cache server responded with a value or a miss
   * @param lookup whether the cache server had the key
   * @param tookNanos the time from sending the attempt to its end
   * @param late whether the attempt took longer than the latency objective of its class
   */
  default void attemptEnded(
      long serverId, boolean responded, CacheLookup lookup, long tookNanos, boolean late) {}

  /** The number of listed cache servers, and of those that are excluded or ejected. */
  default void serverCounts(int listed, int avoided) {}

  /** A reload accepted a configuration or found it invalid. */
  default void configReloaded(boolean accepted) {}

  /** Declares a request class of the settings, which is exported from now on even if it is 0. */
  default void declareClass(String requestClass) {}
}
