package beaconturn.net.client;

import java.util.concurrent.Semaphore;

/**
 * One connection's part of the permits for large requests, which are held in memory until they are
 * answered. The permits themselves are shared by all connections.
 */
final class LargeRequestPermits {
  private final Semaphore shared;

  /** Guarded by this. */
  private int held;

  /** Whether the command that is arriving has a permit. Written by the poller, read by any. */
  private volatile boolean forCommandAtHand;

  LargeRequestPermits(Semaphore shared) {
    this.shared = shared;
  }

  /** Whether the command that is arriving may be read whole, however large. For any thread. */
  boolean forCommandAtHand() {
    return forCommandAtHand;
  }

  /** Takes a permit for the command that is arriving; false if none is left. Poller thread only. */
  boolean tryAcquire() {
    if (!shared.tryAcquire()) {
      return false;
    }
    forCommandAtHand = true;
    synchronized (this) {
      held++;
    }
    return true;
  }

  /** The command that was arriving is whole; its permit is kept. Poller thread only. */
  void commandCompleted() {
    forCommandAtHand = false;
  }

  /** Gives all permits back. For any thread. */
  synchronized void releaseAll() {
    shared.release(held);
    held = 0;
  }
}
