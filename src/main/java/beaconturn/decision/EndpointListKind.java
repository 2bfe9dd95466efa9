package beaconturn.decision;

/** How much of the server list an update holds. */
public enum EndpointListKind {
  DELTA,
  FULL,
  CACHED,
  FAILED
}
