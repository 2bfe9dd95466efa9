package beaconturn.core;

/** Discovery as the routing thread asks it. Routing thread only; no call may block. */
public interface EndpointDiscovery {
  /** Starts or stops a watch on changes of the endpoint list. */
  void watch(boolean on);

  /** Asks once for the complete endpoint list. */
  void fetch();
}
