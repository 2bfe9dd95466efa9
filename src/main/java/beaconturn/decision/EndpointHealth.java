package beaconturn.decision;

/** State of a server in the endpoint list. */
public enum EndpointHealth {
  /** Removed from the list. */
  GONE,
  /** Accepts requests. */
  READY,
  /** Accepts no new requests. */
  DRAINING
}
