package beaconturn.net.client;

import java.util.concurrent.TimeUnit;

/**
 * The turns of the client poller, in each of which it handles all input and closes that have
 * arrived. After the process was stopped, other threads may run before the poller does, and wait
 * here until it has seen which clients have left. For any thread.
 */
final class PollerTurns {
  /**
   * Time since the start of the last turn after which clients may have left unnoticed; longer than
   * an idle poller waits, and short enough that an attempt begins within 0.1 s of the close of its
   * client.
   */
  static final long STALL_NANOS = 80_000_000;

  private static final long MAX_WAIT_NANOS = 200_000_000;

  /** The turn that is under way may have begun before its caller's, so two have to end. */
  private static final int TURNS_TO_AWAIT = 2;

  private final Runnable wakeup;
  private volatile long lastStartedAtNanos;

  /** Guarded by this. */
  private long ended;

  /**
   * Creates the turns of a poller.
   *
   * @param wakeup has the poller begin its next turn without a further wait
   */
  PollerTurns(Runnable wakeup, long nowNanos) {
    this.wakeup = wakeup;
    this.lastStartedAtNanos = nowNanos;
  }

  /**
   * Records the end of a turn. Poller thread only.
   *
   * @param startedAtNanos when it started: a wait during which the process was stopped may end
   *     without the events of that time
   */
  void turnEnded(long startedAtNanos) {
    lastStartedAtNanos = startedAtNanos;
    synchronized (this) {
      ended++;
      notifyAll();
    }
  }

  /**
   * Waits for a turn if the last one started too long ago; false if none ends in time. Not for the
   * poller thread.
   */
  boolean awaitTurnIfStalled(long nowNanos) {
    if (nowNanos - lastStartedAtNanos <= STALL_NANOS) {
      return true;
    }
    try {
      return awaitTurns();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return false;
    }
  }

  private boolean awaitTurns() throws InterruptedException {
    long deadlineNanos = System.nanoTime() + MAX_WAIT_NANOS;
    boolean inTime = true;
    for (int i = 0; i < TURNS_TO_AWAIT && inTime; i++) {
      long endedBefore = ended();
      wakeup.run();
      inTime = awaitMoreThan(endedBefore, deadlineNanos);
    }
    return inTime;
  }

  private synchronized long ended() {
    return ended;
  }

  private synchronized boolean awaitMoreThan(long endedBefore, long deadlineNanos)
      throws InterruptedException {
    long leftNanos = deadlineNanos - System.nanoTime();
    while (ended == endedBefore && leftNanos > 0) {
      TimeUnit.NANOSECONDS.timedWait(this, leftNanos);
      leftNanos = deadlineNanos - System.nanoTime();
    }
    return ended != endedBefore;
  }
}
