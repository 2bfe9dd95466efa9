package beaconturn.agreement;

/** Whether a request may run more than once, from the loosest to the strictest. */
public enum ClassIdempotency {
  /** Any number of times. */
  SAFE,
  /** As often as wanted within the window of its key. */
  KEYED,
  /** At most once. */
  UNSAFE;

  /** The stricter one. */
  ClassIdempotency stricter(ClassIdempotency other) {
    return compareTo(other) >= 0 ? this : other;
  }
}
