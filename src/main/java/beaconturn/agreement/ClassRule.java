package beaconturn.agreement;

/**
 * Settings of one request class in a version. A null field keeps the local configuration of each
 * router.
 *
 * @param idempotency whether requests of the class may be executed more than once
 * @param deduplicationWindowNanos how long cache servers drop repeats of a request with an
 *     idempotency key
 * @param deadlineNanos maximum time until a client receives its response
 */
public record ClassRule(
    ClassIdempotency idempotency, Long deduplicationWindowNanos, Long deadlineNanos) {
  /** Keeps the local configuration of each router. */
  public static final ClassRule UNSPECIFIED = new ClassRule(null, null, null);

  /** Returns this rule with its unspecified fields taken from the defaults. */
  ClassRule withDefaults(ClassRule defaults) {
    return new ClassRule(
        idempotency == null ? defaults.idempotency : idempotency,
        deduplicationWindowNanos == null
            ? defaults.deduplicationWindowNanos
            : deduplicationWindowNanos,
        deadlineNanos == null ? defaults.deadlineNanos : deadlineNanos);
  }
}
