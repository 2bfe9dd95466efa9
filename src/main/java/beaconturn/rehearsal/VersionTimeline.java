package beaconturn.rehearsal;

/**
 * When a version was proposed, came into force and was settled, as the store saw it; -1 where it
 * was not.
 */
record VersionTimeline(long number, long proposedAtNanos, long inForceAtNanos, long settledAtNanos) {}
