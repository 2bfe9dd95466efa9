package beaconturn.net;

/**
 * How many connections a router may hold, so that neither its descriptors nor its memory run out: a client
 * takes two threads while it has a request out, a connection to a cache server one.
 */
record Capacity(int clients, int cacheConnections, int largeRequests) {
    /** Descriptors for everything but connections: the jar, the log, discovery, the listener, the JVM's. */
    private static final int SPARE_SOCKETS = 48;
    /** What the JVM takes with its heap full and no connection open. */
    private static final int BASE_MB = 108;
    /** Measured at 45 KB with the shadow pages that the start command sets. */
    private static final int THREAD_KB = 56;
    private static final int FEWEST_THREADS = 256;
    /** A request of the largest size takes 66 KB of the heap until it is answered. */
    private static final int MOST_LARGE = 96;

    static Capacity of(int sockets, int memoryMb) {
        int forSockets = sockets - SPARE_SOCKETS;
        int threads = Math.max(FEWEST_THREADS, (memoryMb - BASE_MB) * 1024 / THREAD_KB);
        return new Capacity(Math.min(forSockets / 2, threads / 4), Math.min(forSockets / 3, threads / 3),
            MOST_LARGE);
    }
}
