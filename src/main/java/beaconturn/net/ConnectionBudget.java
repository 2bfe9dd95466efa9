package beaconturn.net;

import beaconturn.core.MachineArchitecture;

/**
 * Limits on the connections of a router, so that it runs out of neither descriptors nor memory: a
 * client connection takes a few KB, a connection to a cache server takes a thread.
 *
 * @param clients maximum number of open client connections
 * @param clientSoftLimit number of client connections above which idle ones are closed sooner
 * @param cacheConnections maximum number of open connections to cache servers, each of which may
 *     need a thread
 * @param largeRequests maximum number of requests of the largest size held at once
 * @param waitingResponseBytes maximum size of all large responses that wait behind others
 * @param receivedResponseBytes maximum size of all large responses that are being received or wait
 *     for the routing thread
 * @param commandsInFlight number of commands in flight above which each client may have one
 */
record ConnectionBudget(
    int clients,
    int clientSoftLimit,
    int cacheConnections,
    int largeRequests,
    long waitingResponseBytes,
    long receivedResponseBytes,
    int commandsInFlight) {
  /**
   * Descriptors that are not for connections: the jar, the log, discovery, the listener, the JVM.
   */
  private static final int OTHER_DESCRIPTORS = 48;

  private static final int KB_PER_MB = 1024;

  private static final int BYTES_PER_KB = 1024;

  /** Tenths of the memory that the start command gives to the heap, within the two limits. */
  private static final int HEAP_TENTHS = 3;

  private static final int MIN_HEAP_MB = 16;
  private static final int MAX_HEAP_MB = 64;

  /** Memory of the JVM outside the heap and the threads for connections, under load. */
  private static final int JVM_BASE_MB = 50;

  /**
   * Stack and bookkeeping of a thread on x86-64, with the shadow pages that the start command sets.
   */
  private static final int X86_64_THREAD_KB = 56;

  /** The same with the shadow pages that a JVM has by default, as on arm64. */
  private static final int THREAD_KB = 112;

  private static final int MIN_THREADS = 64;

  /** Heap that a request of the largest size takes until it is answered. */
  private static final int LARGE_REQUEST_KB = 66;

  /**
   * The part of the heap for large requests; the rest leaves room for responses and for the garbage
   * collector.
   */
  private static final int LARGE_REQUEST_HEAP_DIVISOR = 6;

  private static final int MAX_LARGE_REQUESTS = 96;

  /** The part of the heap for responses that wait behind others. */
  private static final int WAITING_RESPONSE_HEAP_DIVISOR = 5;

  /** The part of the heap for responses that are being received. */
  private static final int RECEIVED_RESPONSE_HEAP_DIVISOR = 5;

  /** The part of the heap for the commands in flight. */
  private static final int COMMAND_HEAP_DIVISOR = 4;

  /** Heap that a command takes until its response is written, with a small response. */
  private static final int COMMAND_BYTES = 6 * 1024;

  /**
   * Descriptors of clients are divided into this many parts: 16 for open connections, one for those
   * that are closing.
   */
  private static final int CLIENT_PARTS = 17;

  private static final int OPEN_CLIENT_PARTS = 16;

  /** Idle clients are closed sooner once clients use more than this part of all descriptors. */
  private static final int SOFT_LIMIT_DIVISOR = 4;

  /** Computes the budget of a process on this machine. */
  static ConnectionBudget of(int descriptors, int memoryMb) {
    return of(descriptors, memoryMb, MachineArchitecture.ofThisMachine());
  }

  /**
   * Computes the budget of a process with the given number of descriptors and amount of memory.
   *
   * @param architecture the kind of machine, a value of the property {@code os.arch}
   */
  static ConnectionBudget of(int descriptors, int memoryMb, String architecture) {
    int threadKb = MachineArchitecture.isIntel64(architecture) ? X86_64_THREAD_KB : THREAD_KB;
    int forConnections = descriptors - OTHER_DESCRIPTORS;
    int clients = (forConnections / 2 - 1) * OPEN_CLIENT_PARTS / CLIENT_PARTS;
    int cacheConnections = Math.min(forConnections / 2, threads(memoryMb, threadKb));
    return new ConnectionBudget(
        clients,
        descriptors / SOFT_LIMIT_DIVISOR,
        cacheConnections,
        largeRequests(memoryMb),
        heapBytes(memoryMb) / WAITING_RESPONSE_HEAP_DIVISOR,
        heapBytes(memoryMb) / RECEIVED_RESPONSE_HEAP_DIVISOR,
        (int) (heapBytes(memoryMb) / COMMAND_HEAP_DIVISOR / COMMAND_BYTES));
  }

  /** The memory for large requests. */
  long largeRequestBytes() {
    return (long) largeRequests * LARGE_REQUEST_KB * BYTES_PER_KB;
  }

  private static int heapMb(int memoryMb) {
    return Math.max(MIN_HEAP_MB, Math.min(MAX_HEAP_MB, memoryMb * HEAP_TENTHS / 10));
  }

  private static long heapBytes(int memoryMb) {
    return (long) heapMb(memoryMb) * KB_PER_MB * BYTES_PER_KB;
  }

  private static int threads(int memoryMb, int threadKb) {
    int forThreadsMb = memoryMb - heapMb(memoryMb) - JVM_BASE_MB;
    return Math.max(MIN_THREADS, forThreadsMb * KB_PER_MB / threadKb);
  }

  private static int largeRequests(int memoryMb) {
    int requestsThatFit =
        heapMb(memoryMb) * KB_PER_MB / LARGE_REQUEST_HEAP_DIVISOR / LARGE_REQUEST_KB;
    return Math.max(1, Math.min(MAX_LARGE_REQUESTS, requestsThatFit));
  }
}
