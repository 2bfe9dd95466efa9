package beaconturn.history;

/**
 * What is promised of requests of one class.
 *
 * @param repeatRule whether they may run more than once
 * @param deduplicationScope which servers drop each other's repeats: all, zone or cell
 * @param deduplicationWindowNanos how long a server remembers an idempotency key
 */
public record RequestClassBounds(
    RepeatRule repeatRule, String deduplicationScope, long deduplicationWindowNanos) {}
