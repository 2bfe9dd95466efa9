package beaconturn.rehearsal.fleet;

/**
 * Decides how much of what arrives a {@link FaultProxy} forwards now; shared by all of its
 * connections. Thread-safe.
 */
final class FaultGate {
  /** Nothing is forwarded any more: the sender has reset its connection or the proxy is closed. */
  static final int DISCARDED = -1;

  /** Nothing is forwarded now; the sender has to be read again once the gate opens. */
  static final int HELD = -2;

  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final long MILLIS_PER_SECOND = 1000;

  // Guarded by this.
  private FaultProxy.State state = FaultProxy.State.OPEN;
  private long amount;
  private boolean closed;
  private int heldCount;

  /**
   * Changes the state.
   *
   * @param nextAmount nanoseconds of delay or bytes per second, depending on the state
   */
  synchronized void setState(FaultProxy.State next, long nextAmount) {
    state = next;
    amount = nextAmount;
    notifyAll();
  }

  synchronized FaultProxy.State state() {
    return state;
  }

  synchronized boolean isClosed() {
    return closed;
  }

  /** Ends all waiting; nothing is forwarded from now on. */
  synchronized void close() {
    closed = true;
    notifyAll();
  }

  /** Returns whether bytes are delayed, so that the sender may reset the connection meanwhile. */
  synchronized boolean isDelaying() {
    return state == FaultProxy.State.SLOW;
  }

  /** Returns how many connections wait for the gate to open in their direction. */
  synchronized int heldCount() {
    return heldCount;
  }

  /** Waits until the gate opens in a direction; returns false once the proxy is closed. */
  synchronized boolean awaitOpen(boolean towardsTarget) throws InterruptedException {
    heldCount++;
    try {
      while (!closed && !isOpen(towardsTarget)) {
        wait();
      }
      return !closed;
    } finally {
      heldCount--;
    }
  }

  private synchronized boolean isOpen(boolean towardsTarget) {
    return switch (state) {
      case CUT, HELD -> false;
      case ONE_WAY -> towardsTarget;
      default -> true;
    };
  }

  /**
   * Waits for the delay of the state and returns how many of the bytes to forward, {@link #HELD} or
   * {@link #DISCARDED}. A number below {@code bytes} means that the connection is to be reset.
   */
  int admit(int bytes, boolean towardsTarget) throws InterruptedException {
    FaultProxy.State current;
    long currentAmount;
    synchronized (this) {
      if (closed) {
        return DISCARDED;
      }
      if (!isOpen(towardsTarget)) {
        return HELD;
      }
      current = state;
      currentAmount = amount;
    }
    switch (current) {
      case SLOW -> Thread.sleep(currentAmount / NANOS_PER_MILLI);
      case THROTTLED -> Thread.sleep(bytes * MILLIS_PER_SECOND / Math.max(1, currentAmount));
      case RESPONSE_LOST -> {
        return towardsTarget ? bytes : 0;
      }
      case RESETTING -> {
        return bytes / 2;
      }
      default -> {
        return bytes;
      }
    }
    return bytes;
  }
}
