package beaconturn.history;

/**
 * A violation of an invariant, or a note.
 *
 * @param atNanos time by the clock of the history
 * @param requestId the request, or empty
 * @param server the server, or empty
 * @param description what happened
 */
public record Violation(long atNanos, String requestId, String server, String description) {}
