package beaconturn.decision;

/**
 * Settings of one class of requests.
 *
 * @param deduplicationScope which servers deduplicate repeats together, with an idempotency key
 * @param deduplicationWindowNanos how long servers retain idempotency keys
 * @param latencyObjectiveNanos response time beyond which a response is late
 * @param deadlineNanos longest time that clients wait
 * @param priorityWeight priority weight of a response within the objective
 * @param latePriorityWeight priority weight of a late response
 * @param streamed whether responses are streamed to the client
 */
public record RequestClass(
    Idempotency idempotency,
    DeduplicationScope deduplicationScope,
    long deduplicationWindowNanos,
    long latencyObjectiveNanos,
    long deadlineNanos,
    double priorityWeight,
    double latePriorityWeight,
    boolean streamed) {
  /** Whether a late response has no value, so that the request may be dropped without harm. */
  boolean isWorthlessWhenLate() {
    return latePriorityWeight <= 0 && idempotency == Idempotency.IDEMPOTENT;
  }
}
