package beaconturn.net.client;

import beaconturn.core.RateLimitedLog;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.atomic.AtomicLong;
import java.util.logging.Logger;

/**
 * Limits the memory of large responses that wait behind others on their client connections: in all,
 * and for each connection, so that one client cannot use up the memory for all. Streamed responses
 * that are collected use a part of it that leaves the share of each connection as it is. For any
 * thread.
 */
public final class ResponseMemory {
  private static final Logger LOG = Logger.getLogger(ResponseMemory.class.getName());
  private static final int BURST_LINES = 10;
  private static final double LINES_PER_SECOND = 2;

  /** Responses of up to this size are not counted. */
  private static final int SMALL_RESPONSE_BYTES = 4 * 1024;

  /** The part of the limit that one connection may use. */
  private static final int CONNECTION_DIVISOR = 4;

  /** Once more than this part of the limit is reserved, memory is scarce. */
  private static final int SCARCITY_DIVISOR = 2;

  /** The part that a connection may use when memory is scarce. */
  private static final int CONNECTION_DIVISOR_WHEN_SCARCE = 16;

  private final long limitBytes;
  private final AtomicLong reservedBytes = new AtomicLong();

  /** What waits for memory to collect a streamed response, in order. Guarded by itself. */
  private final Deque<Runnable> waiting = new ArrayDeque<>();

  private final RateLimitedLog shortages = new RateLimitedLog(LOG, BURST_LINES, LINES_PER_SECOND);

  /** Creates an unused amount of memory. */
  public ResponseMemory(long limitBytes) {
    this.limitBytes = limitBytes;
  }

  /** The part of this memory that one connection uses. */
  OfConnection ofConnection() {
    return new OfConnection();
  }

  /** The number of bytes that are reserved. */
  long reservedBytes() {
    return reservedBytes.get();
  }

  private long connectionLimitBytes() {
    boolean scarce = reservedBytes.get() > limitBytes / SCARCITY_DIVISOR;
    return limitBytes / (scarce ? CONNECTION_DIVISOR_WHEN_SCARCE : CONNECTION_DIVISOR);
  }

  private boolean reserve(int bytes, long upToBytes) {
    long before =
        reservedBytes.getAndUpdate(
            reserved -> reserved + bytes <= upToBytes ? reserved + bytes : reserved);
    return before + bytes <= upToBytes;
  }

  private void release(int bytes) {
    reservedBytes.addAndGet(-bytes);
    retryNext();
  }

  private void retryNext() {
    synchronized (waiting) {
      if (!waiting.isEmpty()) {
        waiting.peek().run();
      }
    }
  }

  /** The memory of the responses that wait on one connection. */
  final class OfConnection {
    private final AtomicLong connectionBytes = new AtomicLong();

    /**
     * Reserves memory for a response; false if there is too little.
     *
     * @param requestId the id of its request, for the log
     */
    boolean reserve(int bytes, String requestId, long nowNanos) {
      if (connectionBytes.addAndGet(bytes) <= connectionLimitBytes()
          && ResponseMemory.this.reserve(bytes, limitBytes)) {
        return true;
      }
      long connectionUsage = connectionBytes.addAndGet(-bytes);
      shortages.log(
          nowNanos,
          () ->
              "request "
                  + requestId
                  + " failed: no memory for its response, "
                  + connectionUsage
                  + " bytes wait on its connection, "
                  + reservedBytes.get()
                  + " on all");
      return false;
    }

    /** Releases memory that was reserved. */
    void release(int bytes) {
      connectionBytes.addAndGet(-bytes);
      ResponseMemory.this.release(bytes);
    }

    /**
     * Reserves memory to collect a streamed response; false if memory would be scarce with it, or
     * others wait for it.
     *
     * @param retry runs when to reserve again, until {@link #stopWaiting}; must not block
     */
    boolean reserveCollected(int bytes, Runnable retry) {
      synchronized (waiting) {
        boolean isNext = waiting.isEmpty() || waiting.peek() == retry;
        if (isNext && ResponseMemory.this.reserve(bytes, limitBytes / SCARCITY_DIVISOR)) {
          waiting.poll();
          retryNext();
          return true;
        }
        if (!waiting.contains(retry)) {
          waiting.add(retry);
        }
        return false;
      }
    }

    /** Reports that memory to collect a streamed response is no longer needed. */
    void stopWaiting(Runnable retry) {
      synchronized (waiting) {
        waiting.remove(retry);
        retryNext();
      }
    }

    /** Releases memory that was reserved to collect a streamed response. */
    void releaseCollected(int bytes) {
      ResponseMemory.this.release(bytes);
    }

    boolean needsReservation(int bytes) {
      return bytes > SMALL_RESPONSE_BYTES;
    }
  }
}
