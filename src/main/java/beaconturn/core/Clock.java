package beaconturn.core;

/** Where the time comes from; nanoseconds since 1970, never going back. */
public interface Clock {
    /** The time now. */
    long now();

    /** The machine's clock, read once; from then on the monotonic one, which no correction moves. */
    static Clock system() {
        long started = System.nanoTime();
        long epoch = System.currentTimeMillis() * 1_000_000;
        return () -> epoch + (System.nanoTime() - started);
    }
}
