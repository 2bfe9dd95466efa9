package beaconturn.decision;

/** Which servers deduplicate repeats of a request with an idempotency key across each other. */
public enum DeduplicationScope {
  /** All servers. */
  ALL,
  /** Servers of one zone. */
  ZONE,
  /** Servers of one cell. */
  CELL
}
