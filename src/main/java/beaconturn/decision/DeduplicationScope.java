package beaconturn.decision;

/** Which servers discard repeats of a keyed request. */
public enum DeduplicationScope {
  ALL,
  ZONE,
  CELL
}
