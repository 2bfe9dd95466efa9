package beaconturn.net.client;

import java.util.concurrent.Semaphore;

/**
 * The permits for large requests that one connection holds. Large requests are kept in memory until
 * they are answered; the semaphore is shared by all connections.
 */
final class LargeRequestPermits {
  private final Semaphore shared;

  /** Guarded by this. */
  private int held;

  /**
   * Whether the command that is arriving has a permit. Written by the poller, read by any thread.
   */
  private volatile boolean heldForCurrentCommand;

  LargeRequestPermits(Semaphore shared) {
    this.shared = shared;
  }

  /**
   * Whether the command that is arriving may be read completely, whatever its size. For any thread.
   */
  boolean heldForCurrentCommand() {
    return heldForCurrentCommand;
  }

  /**
   * Acquires a permit for the command that is arriving; false if none is left. Poller thread only.
   */
  boolean tryAcquire() {
    if (!shared.tryAcquire()) {
      return false;
    }
    heldForCurrentCommand = true;
    synchronized (this) {
      held++;
    }
    return true;
  }

  /**
   * Ends the arrival of a command; its permit is held until the connection is idle. Poller thread
   * only.
   */
  void commandCompleted() {
    heldForCurrentCommand = false;
  }

  /** Releases all permits of this connection. For any thread. */
  synchronized void releaseAll() {
    shared.release(held);
    held = 0;
  }
}
