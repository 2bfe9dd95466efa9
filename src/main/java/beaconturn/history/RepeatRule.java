package beaconturn.history;

/** Whether a request of a class may run more than once. */
public enum RepeatRule {
  /** Any number of times. */
  ALWAYS,
  /** Where servers drop its repeats by an idempotency key. */
  DEDUPLICATED,
  /** Never. */
  NEVER
}
