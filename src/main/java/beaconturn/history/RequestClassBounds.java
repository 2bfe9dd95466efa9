package beaconturn.history;

/**
 * Bounds for the requests of one class.
 *
 * @param repeatRule whether a request may run more than once
 * @param deduplicationScope which servers discard each other's duplicates: all, zone or cell
 * @param deduplicationWindowNanos how long a server remembers an idempotency key
 */
public record RequestClassBounds(
    RepeatRule repeatRule, String deduplicationScope, long deduplicationWindowNanos) {}
