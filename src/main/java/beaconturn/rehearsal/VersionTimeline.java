package beaconturn.rehearsal;

/**
 * When a configuration version was proposed, came into force and was settled, as recorded by the
 * coordination store; -1 for a stage that it did not reach.
 */
record VersionTimeline(
    long number, long proposedAtNanos, long inForceAtNanos, long settledAtNanos) {}
