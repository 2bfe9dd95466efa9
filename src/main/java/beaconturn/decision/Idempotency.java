package beaconturn.decision;

/** Whether a request may be executed more than once. */
public enum Idempotency {
  /** Any number of times. */
  IDEMPOTENT,
  /** Repeats are deduplicated by the idempotency key, within its scope and window. */
  IDEMPOTENCY_KEY,
  /** At most once: repeated only if no attempt can have been executed. */
  NON_IDEMPOTENT
}
