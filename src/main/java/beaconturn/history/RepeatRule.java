package beaconturn.history;

/** Whether a request of a class may run more than once. */
public enum RepeatRule {
  /** May run any number of times. */
  ALWAYS,
  /** May be repeated where servers discard duplicates by an idempotency key. */
  DEDUPLICATED,
  /** Must run at most once. */
  NEVER
}
