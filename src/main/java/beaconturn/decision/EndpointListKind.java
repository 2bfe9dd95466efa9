package beaconturn.decision;

/** How much of the endpoint list an update contains. */
public enum EndpointListKind {
  /** Only the changed entries. */
  DELTA,
  /** The complete list. */
  FULL,
  /** The complete list as last received by the router. */
  CACHED,
  /** No entries: the list could not be retrieved. */
  FAILED
}
