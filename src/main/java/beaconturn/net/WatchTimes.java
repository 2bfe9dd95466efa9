package beaconturn.net;

import java.util.SplittableRandom;

/**
 * How long watches of the list wait, in milliseconds; for the watching thread alone.
 *
 * @param random spreads the calls of routers that started together
 * @param longest wait
 * @param slack beyond its wait a watch with no answer has fallen silent
 */
record WatchTimes(SplittableRandom random, int longest, int slack) {
    /** Calls work through in turn, and each costs discovery much: long waits, seldom repeated. */
    private static final int LONGEST = 20_000;
    /** What a silent watch misses counts as told 2 s after its wait: half of that is for asking again. */
    private static final int SLACK = 1_000;

    /** The usual times, drawn from the seed. */
    static WatchTimes of(long seed) {
        return new WatchTimes(new SplittableRandom(seed), LONGEST, SLACK);
    }

    /** The wait of the next call. */
    int next() {
        return longest - random.nextInt(longest / 4 + 1);
    }
}
