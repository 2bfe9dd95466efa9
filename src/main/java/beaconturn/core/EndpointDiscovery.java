package beaconturn.core;

/** Discovery as the module's thread asks it; no call may block. */
public interface EndpointDiscovery {
  /** Starts or stops a watch on changes of the list. */
  void watch(boolean on);

  /** Asks once for the whole list. */
  void fetch();
}
