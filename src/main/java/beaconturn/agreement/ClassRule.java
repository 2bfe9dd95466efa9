package beaconturn.agreement;

/**
 * What a version says of one request class; a field that is null is left as each router is
 * configured.
 *
 * @param idempotency whether its requests may run more than once
 * @param deduplicationWindowNanos how long cache servers drop repeats of a request with an
 *     idempotency key
 * @param deadlineNanos the longest that a client may wait
 */
public record ClassRule(
    ClassIdempotency idempotency, Long deduplicationWindowNanos, Long deadlineNanos) {
  /** Leaves all as each router is configured. */
  public static final ClassRule UNSPECIFIED = new ClassRule(null, null, null);

  /** This rule where it specifies something, the other elsewhere. */
  ClassRule withDefaults(ClassRule defaults) {
    return new ClassRule(
        idempotency == null ? defaults.idempotency : idempotency,
        deduplicationWindowNanos == null
            ? defaults.deduplicationWindowNanos
            : deduplicationWindowNanos,
        deadlineNanos == null ? defaults.deadlineNanos : deadlineNanos);
  }
}
