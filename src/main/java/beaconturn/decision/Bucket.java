package beaconturn.decision;

/** Tokens that trickle in up to a burst. */
final class Bucket {
    double tokens;
    long filledAt = Long.MIN_VALUE;

    void fill(long now, double perNano, double burst) {
        tokens = filledAt == Long.MIN_VALUE ? Math.min(1, burst)
            : Math.min(burst, tokens + perNano * (now - filledAt));
        filledAt = now;
    }
}
