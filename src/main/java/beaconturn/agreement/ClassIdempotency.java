package beaconturn.agreement;

/**
 * Whether requests of a class may be executed more than once. The constants are ordered from the
 * most lenient to the strictest, and comparisons rely on this order.
 */
public enum ClassIdempotency {
  /** May be executed any number of times. */
  IDEMPOTENT,
  /** May be repeated within the deduplication window of its idempotency key. */
  IDEMPOTENCY_KEY,
  /** Must be executed at most once. */
  NON_IDEMPOTENT;

  ClassIdempotency stricter(ClassIdempotency other) {
    return compareTo(other) >= 0 ? this : other;
  }
}
