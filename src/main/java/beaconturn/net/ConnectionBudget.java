package beaconturn.net;

/**
 * How many connections a router may hold, so that neither its descriptors nor its memory run out: a
 * client takes a few KB, a connection to a cache server a thread.
 *
 * @param clients open connections of clients at most
 * @param clientsBeforeReclaim above so many, quiet connections of clients are closed sooner
 * @param cacheConnections open connections to cache servers at most, each of which may need a
 *     thread
 * @param largeRequests requests of the largest size that are held at once
 */
record ConnectionBudget(
    int clients, int clientsBeforeReclaim, int cacheConnections, int largeRequests) {
  /**
   * Descriptors for everything but connections: the jar, the log, discovery, the listener, the
   * JVM's.
   */
  private static final int OTHER_DESCRIPTORS = 48;

  private static final int KB_PER_MB = 1024;

  /** The part of the memory that the start command gives the heap, in tenths. */
  private static final int HEAP_TENTHS = 3;

  /** What the JVM takes beside its heap with no connection open. */
  private static final int JVM_BASE_MB = 40;

  /** Stack and bookkeeping of a thread, with the shadow pages that the start command sets. */
  private static final int THREAD_KB = 56;

  private static final int FEWEST_THREADS = 64;

  /** Heap that a request of the largest size takes until it is answered. */
  private static final int LARGE_REQUEST_KB = 66;

  /**
   * Large requests get one in this many parts of the heap: values go out and come in, and the
   * collector needs room to move them.
   */
  private static final int HEAP_PARTS = 6;

  private static final int MOST_LARGE_REQUESTS = 96;

  /**
   * Descriptors of clients are divided into this many parts: 16 for open connections, one for those
   * on their way out.
   */
  private static final int CLIENT_PARTS = 17;

  private static final int OPEN_CLIENT_PARTS = 16;

  /** Idle clients make room once one in this many of all descriptors is in use by clients. */
  private static final int RECLAIM_PART = 4;

  /** The budget of a process that may have so many descriptors and so much memory. */
  static ConnectionBudget of(int descriptors, int memoryMb) {
    int forConnections = descriptors - OTHER_DESCRIPTORS;
    int clients = (forConnections / 2 - 1) * OPEN_CLIENT_PARTS / CLIENT_PARTS;
    int cacheConnections = Math.min(forConnections / 2, threads(memoryMb));
    return new ConnectionBudget(
        clients, descriptors / RECLAIM_PART, cacheConnections, largeRequests(memoryMb));
  }

  private static int heapMb(int memoryMb) {
    return memoryMb * HEAP_TENTHS / 10;
  }

  private static int threads(int memoryMb) {
    int forThreadsMb = memoryMb - heapMb(memoryMb) - JVM_BASE_MB;
    return Math.max(FEWEST_THREADS, forThreadsMb * KB_PER_MB / THREAD_KB);
  }

  private static int largeRequests(int memoryMb) {
    int fitting = heapMb(memoryMb) * KB_PER_MB / HEAP_PARTS / LARGE_REQUEST_KB;
    return Math.max(1, Math.min(MOST_LARGE_REQUESTS, fitting));
  }
}
