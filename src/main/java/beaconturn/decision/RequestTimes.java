package beaconturn.decision;

/**
 * The times that bind one request, in nanoseconds of the host's clock.
 *
 * @param deadlineNanos when the client gives up
 * @param objectiveEndNanos until when an answer meets the latency objective, counted from the
 *     client's first try where that is known
 * @param dueNanos until when an answer is worth something: the end of the objective for requests
 *     that are cut there, the deadline for all others
 */
record RequestTimes(long deadlineNanos, long objectiveEndNanos, long dueNanos) {}
