package beaconturn.decision;

/** Mean and mean deviation, newest samples counting most. */
final class Average {
    double mean;
    double deviation;
    boolean any;
    private final double newest;

    /** {@code newest} is the weight of the newest sample. */
    Average(double newest) {
        this.newest = newest;
    }

    /** Adds a sample and returns the new mean. */
    double add(double sample) {
        mean = any ? mean + newest * (sample - mean) : sample;
        deviation = any ? deviation + newest * (Math.abs(sample - mean) - deviation) : sample / 2;
        any = true;
        return mean;
    }
}
