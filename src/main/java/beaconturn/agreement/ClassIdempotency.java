package beaconturn.agreement;

/**
 * Whether requests of a class may run more than once, from the loosest to the strictest; the order
 * of the constants counts.
 */
public enum ClassIdempotency {
  /** Any number of times. */
  IDEMPOTENT,
  /** As often as wanted within the window of its key. */
  IDEMPOTENCY_KEY,
  /** At most once. */
  NON_IDEMPOTENT;

  /** The stricter one. */
  ClassIdempotency stricter(ClassIdempotency other) {
    return compareTo(other) >= 0 ? this : other;
  }
}
