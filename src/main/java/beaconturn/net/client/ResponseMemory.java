package beaconturn.net.client;

import beaconturn.core.RateLimitedLog;
import java.util.concurrent.atomic.AtomicLong;
import java.util.logging.Logger;

/**
 * Limits the memory of large responses that wait behind others on their client connections: in all,
 * and for each connection, so that one client cannot use up the memory for all. For any thread.
 */
public final class ResponseMemory {
  private static final Logger LOG = Logger.getLogger(ResponseMemory.class.getName());
  private static final int BURST_LINES = 10;
  private static final double LINES_PER_SECOND = 2;

  /** Responses of up to this size are not counted. */
  private static final int SMALL_RESPONSE_BYTES = 4 * 1024;

  /** The part of the limit that one connection may use. */
  private static final int CONNECTION_DIVISOR = 4;

  /** The part that it may use once half of the limit is reserved. */
  private static final int CONNECTION_DIVISOR_WHEN_SCARCE = 16;

  private final long limitBytes;
  private final AtomicLong reservedBytes = new AtomicLong();
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
    boolean scarce = reservedBytes.get() > limitBytes / 2;
    return limitBytes / (scarce ? CONNECTION_DIVISOR_WHEN_SCARCE : CONNECTION_DIVISOR);
  }

  private boolean reserve(int bytes) {
    boolean reserved = reservedBytes.addAndGet(bytes) <= limitBytes;
    if (!reserved) {
      reservedBytes.addAndGet(-bytes);
    }
    return reserved;
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
          && ResponseMemory.this.reserve(bytes)) {
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
      reservedBytes.addAndGet(-bytes);
    }

    boolean needsReservation(int bytes) {
      return bytes > SMALL_RESPONSE_BYTES;
    }
  }
}
