package beaconturn.decision;

/** One class of request; {@code window} is how long repeats of a keyed request are discarded. */
public record RequestClass(
    Idempotency idempotency,
    DeduplicationScope deduplicationScope,
    long deduplicationWindowNanos,
    long latencyObjectiveNanos,
    long deadlineNanos,
    double priorityWeight,
    double latePriorityWeight,
    boolean streamed) {}
