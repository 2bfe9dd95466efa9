package beaconturn.agreement;

/**
 * What a version says of one class; a field that is null is left as each router is configured.
 *
 * @param idempotency whether its requests may run more than once
 * @param deduplicationWindowNanos how long cache servers discard repeats of a keyed request, in
 *     nanoseconds
 * @param deadlineNanos the longest that a client may wait, in nanoseconds
 */
public record ClassRule(
    ClassIdempotency idempotency, Long deduplicationWindowNanos, Long deadlineNanos) {
  /** Nothing said. */
  public static final ClassRule UNSPECIFIED = new ClassRule(null, null, null);

  /** This rule where it says something, the other elsewhere. */
  ClassRule withDefaults(ClassRule other) {
    return new ClassRule(
        idempotency == null ? other.idempotency : idempotency,
        deduplicationWindowNanos == null
            ? other.deduplicationWindowNanos
            : deduplicationWindowNanos,
        deadlineNanos == null ? other.deadlineNanos : deadlineNanos);
  }
}
