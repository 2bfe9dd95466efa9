package beaconturn.decision;

/**
 * Time limits of one request, in nanoseconds of the host's clock.
 *
 * @param deadlineNanos when the client stops waiting
 * @param objectiveEndNanos until when a response meets the latency objective, measured from the
 *     client's first request where that is known
 * @param dueNanos until when a response is of use: the end of the objective for requests that are
 *     cut off there, otherwise the deadline
 */
record RequestTimes(long deadlineNanos, long objectiveEndNanos, long dueNanos) {}
