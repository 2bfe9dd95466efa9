package beaconturn.decision;

/** Which servers drop each other's repeats of a request with an idempotency key. */
public enum DeduplicationScope {
  /** All servers. */
  ALL,
  /** Servers of one zone. */
  ZONE,
  /** Servers of one cell. */
  CELL
}
