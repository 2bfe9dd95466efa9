package beaconturn.decision;

/** State of a server as the endpoint list has it. */
public enum EndpointHealth {
  /** Removed from the list. */
  GONE,
  /** Takes requests. */
  READY,
  /** Takes no new requests. */
  DRAINING
}
