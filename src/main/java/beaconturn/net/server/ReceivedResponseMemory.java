package beaconturn.net.server;

import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;

/**
 * Limits the memory of large responses that are being received, or that were received and wait for
 * the routing thread: in all, and for each cache server, so that one that writes slowly leaves
 * memory to the others. A thread waits for memory, and its cache server with it. For any thread.
 */
public final class ReceivedResponseMemory {
  /** Responses of up to this size are not counted. */
  private static final int SMALL_RESPONSE_BYTES = 4 * 1024;

  /** The part of the limit that the responses of one cache server may use. */
  private static final int SERVER_DIVISOR = 2;

  /** The memory is counted in units of this size, as a semaphore counts in ints. */
  private static final int UNIT_BYTES = 1024;

  private final int limitUnits;
  private final Semaphore free;

  /** Creates an unused amount of memory. */
  public ReceivedResponseMemory(long limitBytes) {
    this.limitUnits = Math.toIntExact(limitBytes / UNIT_BYTES);
    this.free = new Semaphore(limitUnits, true);
  }

  private static int unitsOf(int bytes) {
    return (bytes + UNIT_BYTES - 1) / UNIT_BYTES;
  }

  /** Whether a response of this size needs memory to be reserved. */
  static boolean isLimited(int bytes) {
    return bytes > SMALL_RESPONSE_BYTES;
  }

  /** The number of bytes that are reserved. */
  long reservedBytes() {
    return (long) (limitUnits - free.availablePermits()) * UNIT_BYTES;
  }

  /** The part of this memory that one cache server may use. */
  OfServer ofServer() {
    return new OfServer();
  }

  /** The memory of the responses of one cache server. */
  final class OfServer {
    private final int serverUnits = Math.max(1, limitUnits / SERVER_DIVISOR);
    private final Semaphore freeOfServer = new Semaphore(serverUnits, true);

    /** Creates the reservation of one response, with no memory yet. */
    Reservation newReservation() {
      return new Reservation(this);
    }

    private boolean acquire(int units, long timeoutNanos) throws InterruptedException {
      long startedAtNanos = System.nanoTime();
      if (!freeOfServer.tryAcquire(units, timeoutNanos, TimeUnit.NANOSECONDS)) {
        return false;
      }
      long leftNanos = timeoutNanos - (System.nanoTime() - startedAtNanos);
      boolean acquired = false;
      try {
        acquired = free.tryAcquire(units, leftNanos, TimeUnit.NANOSECONDS);
      } finally {
        if (!acquired) {
          freeOfServer.release(units);
        }
      }
      return acquired;
    }

    private void release(int units) {
      free.release(units);
      freeOfServer.release(units);
    }
  }

  /** The memory of one response. Grown by one thread; released by any, once. */
  static final class Reservation {
    private final OfServer memory;
    private int units;

    private Reservation(OfServer memory) {
      this.memory = memory;
    }

    /**
     * Reserves memory for a response of this size, beyond what is already reserved. Waits for it;
     * false if there is none within the timeout.
     */
    synchronized boolean growTo(int bytes, long timeoutNanos) throws InterruptedException {
      // A larger response than the limit allows for takes all of it.
      int wantedUnits = Math.min(unitsOf(bytes), memory.serverUnits);
      if (wantedUnits <= units) {
        return true;
      }
      if (!memory.acquire(wantedUnits - units, timeoutNanos)) {
        return false;
      }
      units = wantedUnits;
      return true;
    }

    /** Releases what is reserved. */
    synchronized void release() {
      memory.release(units);
      units = 0;
    }
  }
}
