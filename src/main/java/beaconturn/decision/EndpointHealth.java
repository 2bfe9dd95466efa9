package beaconturn.decision;

/** State of a server as the list tells it. */
public enum EndpointHealth {
  GONE,
  READY,
  DRAINING
}
