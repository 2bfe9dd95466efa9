package beaconturn.net.client;

/**
 * The memory for one large request, reserved from before it has arrived completely until it is
 * answered. Any thread may call any method.
 */
final class MemoryReservation {
  private final LargeRequestMemory memory;
  private final int bytes;
  private final long reservedAtNanos;
  private final Runnable onRevoked;

  /** Guarded by the memory. */
  private boolean released;

  MemoryReservation(
      LargeRequestMemory memory, int bytes, long reservedAtNanos, Runnable onRevoked) {
    this.memory = memory;
    this.bytes = bytes;
    this.reservedAtNanos = reservedAtNanos;
    this.onRevoked = onRevoked;
  }

  int bytes() {
    return bytes;
  }

  long reservedAtNanos() {
    return reservedAtNanos;
  }

  /** Tells the holder that the reservation has been revoked. */
  void notifyRevoked() {
    onRevoked.run();
  }

  /**
   * Records that the request has arrived completely; the reservation cannot be revoked any more.
   */
  void requestComplete() {
    memory.markComplete(this);
  }

  /** Ends the reservation; only the first call has an effect. */
  void release() {
    memory.release(this);
  }

  /** Marks the reservation as ended; false if it already was. Called under the memory's lock. */
  boolean markReleased() {
    boolean first = !released;
    released = true;
    return first;
  }
}
