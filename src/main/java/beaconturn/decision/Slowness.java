package beaconturn.decision;

/** How slow answers are of late, as a part of their aim, and how slow they were at the quietest. */
final class Slowness {
    /** Beyond twice the aim, slower is no worse; keeps one outlier from ruling the average. */
    private static final double MOST = 2;
    double now;
    double idle = MOST;
    private final double newest;
    private final double forget;
    private int samples;

    /** {@code newest} is the weight of the newest sample, {@code forget} how fast the quietest time fades. */
    Slowness(double newest, double forget) {
        this.newest = newest;
        this.forget = forget;
    }

    void add(double partOfAim) {
        samples++;
        now += Math.max(newest, 1.0 / samples) * (Math.min(MOST, partOfAim) - now);
        if (samples > 1 / newest) {
            idle = Math.min(now, idle + forget * (now - idle));
        }
    }
}
