package beaconturn.decision;

/** What a router knows of one cache or origin. */
final class Server {
    final long id;
    final Bucket cold = new Bucket();
    int zone;
    int cell;
    int kind;
    Routing.Health health = Routing.Health.GONE;
    double rating;
    long bootTime;
    int inFlight;
    double smoothLoad;
    long settledAt;
    /** How many attempts the server has said something on. */
    long heard;
    double reported;
    long reportedAt;
    /** Until when a connection to it should be open, as long as nothing else closes it. */
    long openUntil;
    long dialFailedAt;
    double sick;
    long judgedAt;
    boolean ejected;
    double trialGap;
    long trialAt;
    long walk;

    Server(long id) {
        this.id = id;
    }

    /** Counts requests in flight up or down; the smoothed load is brought up to now first. */
    void load(int change, long now, double memory) {
        settle(now, memory);
        inFlight += change;
    }

    /** Brings the smoothed load up to now and returns it. */
    double settle(long now, double memory) {
        double passed = now - settledAt;
        smoothLoad += (inFlight - smoothLoad) * passed / (passed + memory);
        settledAt = now;
        return smoothLoad;
    }

    /** Whether a connection to it was asked for in vain within the given time. */
    boolean dialFails(long now, long memory) {
        return dialFailedAt != 0 && now - dialFailedAt < memory;
    }

    void update(Routing.ServerEntry e, boolean useRating) {
        if (e.bootTime() != bootTime) {
            sick = 0;
            ejected = false;
            cold.reset();
        }
        zone = e.zone();
        cell = e.cell();
        kind = e.kind();
        health = e.health();
        rating = useRating && e.rating() > 0 ? e.rating() : 1;
        bootTime = e.bootTime();
    }
}
