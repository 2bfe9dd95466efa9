package beaconturn.net;

/**
 * How many connections a router may hold, so that neither its descriptors nor its memory run out: a
 * client takes a few KB, a connection to a cache server a thread.
 */
record ConnectionBudget(int clients, int easyClients, int cacheConnections, int largeRequests) {
  /**
   * Descriptors for everything but connections: the jar, the log, discovery, the listener, the
   * JVM's.
   */
  private static final int SPARE_SOCKETS = 48;

  /** The part of the memory that the start command gives the heap, in tenths. */
  private static final int HEAP_TENTHS = 3;

  /** What the JVM takes beside its heap with no connection open. */
  private static final int BASE_MB = 40;

  /** Measured at 45 KB with the shadow pages that the start command sets. */
  private static final int THREAD_KB = 56;

  private static final int FEWEST_THREADS = 64;

  /**
   * A request of the largest size takes 66 KB of the heap until it is answered; so many at most.
   */
  private static final int LARGE_KB = 66;

  private static final int MOST_LARGE = 96;

  static ConnectionBudget of(int sockets, int memoryMb) {
    int forSockets = sockets - SPARE_SOCKETS;
    int heapMb = memoryMb * HEAP_TENTHS / 10;
    int threads = Math.max(FEWEST_THREADS, (memoryMb - heapMb - BASE_MB) * 1024 / THREAD_KB);
    // A sixth of the heap, as values go out and come in, and the collector needs room to move them.
    int large = Math.max(1, Math.min(MOST_LARGE, heapMb * 1024 / 6 / LARGE_KB));
    // One and a seventeenth of the clients' half are for those on their way out.
    int clients = (forSockets / 2 - 1) * 16 / 17;
    // Clients keep a third of the descriptors at most: from a quarter on the quiet ones make room.
    return new ConnectionBudget(clients, sockets / 4, Math.min(forSockets / 2, threads), large);
  }
}
