package beaconturn.decision;

/** How much of the endpoint list an update holds. */
public enum EndpointListKind {
  /** Only what has changed. */
  DELTA,
  /** All of it. */
  FULL,
  /** All of it as it was when the router last heard it. */
  CACHED,
  /** Nothing: the list could not be had. */
  FAILED
}
