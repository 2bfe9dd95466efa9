package beaconturn.decision;

/** Whether a request may run more than once. */
public enum Idempotency {
  IDEMPOTENT,
  IDEMPOTENCY_KEY,
  NON_IDEMPOTENT
}
