package beaconturn.release;

/**
 * What a part has answered since its process began.
 *
 * @param process which process it is; another one counts anew
 * @param good answers that served
 * @param bad refusals and failures
 */
public record Sample(String process, long good, long bad) {
    static final Sample NONE = new Sample("", 0, 0);
    private static final double ERRORS = 2.33;

    /** What came since an earlier sample; all of it where the process is another. */
    Sample since(Sample earlier) {
        return process.equals(earlier.process) ? new Sample(process, good - earlier.good, bad - earlier.bad)
            : this;
    }

    /**
     * Whether its part of bad answers is higher than another's by more than chance: a one-in-a-hundred test.
     */
    boolean fartherThanChance(Sample other) {
        double both = (bad + other.bad) / (double) (answers() + other.answers());
        double error = Math.sqrt(both * (1 - both)
            * (1.0 / answers() + (other.answers() == 0 ? 0 : 1.0 / other.answers())));
        return badShare() - other.badShare() > ERRORS * error;
    }

    Sample plus(Sample other) {
        return new Sample("", good + other.good, bad + other.bad);
    }

    long answers() {
        return good + bad;
    }

    double badShare() {
        return answers() == 0 ? 0 : bad / (double) answers();
    }
}
