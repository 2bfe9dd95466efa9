package beaconturn.rehearsal.fleet;

/**
 * What a {@link FaultProxy} lets pass at the moment, shared by all of its connections. Any thread
 * may call.
 */
final class FaultGate {
  /** No byte passes any more: the sender has reset its connection, or the proxy is closed. */
  static final int DISCARDED = -1;

  /** Nothing passes now; the sender has to be looked at again once something does. */
  static final int HELD = -2;

  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final long MILLIS_PER_SECOND = 1000;

  // Guarded by this.
  private FaultProxy.State state = FaultProxy.State.OPEN;
  private long amount;
  private boolean closed;
  private int waiting;

  /**
   * Changes what passes.
   *
   * @param howMuch nanoseconds of delay or bytes a second, as the state has it
   */
  synchronized void setState(FaultProxy.State next, long howMuch) {
    state = next;
    amount = howMuch;
    notifyAll();
  }

  synchronized FaultProxy.State state() {
    return state;
  }

  synchronized boolean isClosed() {
    return closed;
  }

  /** Ends all waiting; nothing passes from now on. */
  synchronized void close() {
    closed = true;
    notifyAll();
  }

  /** Returns whether what passes is delayed, so that its sender may give it up on the way. */
  synchronized boolean delays() {
    return state == FaultProxy.State.SLOW;
  }

  /** Returns how many messages are held now. */
  synchronized int waiting() {
    return waiting;
  }

  /** Waits while nothing may pass in a direction; false once the proxy is closed. */
  synchronized boolean awaitOpen(boolean towardsTarget) throws InterruptedException {
    waiting++;
    try {
      while (!closed && !isOpen(towardsTarget)) {
        wait();
      }
      return !closed;
    } finally {
      waiting--;
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
   * Returns how many of the bytes pass, after the delay that the state demands; {@link #HELD} or
   * {@link #DISCARDED}. Fewer than all end the connection.
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
