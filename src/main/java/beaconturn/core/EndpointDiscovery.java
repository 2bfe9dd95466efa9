package beaconturn.core;

/** The routing thread's access to discovery. Routing thread only; no call may block. */
public interface EndpointDiscovery {
  /** Starts or stops watching the endpoint list for changes. */
  void watch(boolean on);

  /** Requests the complete endpoint list once. */
  void fetch();
}
