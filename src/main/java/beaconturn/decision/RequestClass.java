package beaconturn.decision;

/**
 * One class of requests.
 *
 * @param deduplicationScope which servers drop each other's repeats, with an idempotency key
 * @param deduplicationWindowNanos for how long they do
 * @param latencyObjectiveNanos an answer after it is late
 * @param deadlineNanos how long clients wait at the most
 * @param priorityWeight what an answer in time counts
 * @param latePriorityWeight what a late answer counts
 * @param streamed whether answers go to the client as they come
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
  /** Whether a late answer is worth nothing, and may be left out without harm. */
  boolean isWorthlessWhenLate() {
    return latePriorityWeight <= 0 && idempotency == Idempotency.IDEMPOTENT;
  }
}
