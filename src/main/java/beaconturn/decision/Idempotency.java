package beaconturn.decision;

/** Whether a request may run more than once. */
public enum Idempotency {
  /** Any number of times. */
  IDEMPOTENT,
  /** Where servers drop repeats by its key, within their scope and window. */
  IDEMPOTENCY_KEY,
  /** Once at the most: repeated only where no attempt can have run. */
  NON_IDEMPOTENT
}
