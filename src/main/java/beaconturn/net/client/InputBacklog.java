package beaconturn.net.client;

/**
 * Whether input of a client may lie unread in the socket. While it does, the router cannot know
 * whether the client has closed the connection, as the end of the stream follows the input. Written
 * by the poller thread, read by any thread.
 */
final class InputBacklog {
  /** Age of a backlog from which waiting commands are rejected so that reading can go on. */
  static final long MAX_WAIT_NANOS = 25_000_000;

  /**
   * Age of a backlog from which the client may have left unnoticed, so that nothing is forwarded
   * for it: an attempt may begin up to 0.1 s after the close.
   */
  static final long PRESENCE_TIMEOUT_NANOS = 60_000_000;

  private static final long NEVER = Long.MAX_VALUE;

  private volatile long sinceNanos = NEVER;

  /** Records that the input was read to its end, and the stream has not ended. */
  void cleared() {
    sinceNanos = NEVER;
  }

  /**
   * Records that reading stopped before the end of the input.
   *
   * @param arrivedAtNanos the earliest time at which the input can have arrived
   */
  void mayRemain(long arrivedAtNanos) {
    sinceNanos = Math.min(sinceNanos, arrivedAtNanos);
  }

  /** When the input that may remain can have arrived, {@code Long.MAX_VALUE} if there is none. */
  long sinceNanos() {
    return sinceNanos;
  }

  boolean exists() {
    return sinceNanos != NEVER;
  }

  /** Whether input has been left unread for longer than that. */
  boolean isOlderThan(long ageNanos, long nowNanos) {
    long since = sinceNanos;
    return since != NEVER && nowNanos - since > ageNanos;
  }

  /** How long input has been left unread, 0 for not at all. */
  long ageNanos(long nowNanos) {
    long since = sinceNanos;
    return since == NEVER ? 0 : nowNanos - since;
  }
}
