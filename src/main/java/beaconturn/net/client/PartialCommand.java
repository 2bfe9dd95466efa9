package beaconturn.net.client;

/**
 * The command of a connection that has begun to arrive and is not whole: since when, and when bytes
 * came last. An end that is chosen for it holds only as long as it is still that command and, where
 * it stood still, no more of it has come. Written by the poller's thread, read by any.
 */
final class PartialCommand {
  private static final long NEVER = Long.MAX_VALUE;
  private volatile long since = NEVER;
  private volatile long heardAt;
  private volatile long chosenAt = NEVER;

  /** Bytes have come. */
  void heard(long now) {
    heardAt = now;
    since = Math.min(since, now);
  }

  /** A whole command has been taken, and nothing is there behind it. */
  void taken() {
    since = NEVER;
  }

  /** A whole command has been taken, and bytes of another are there already. */
  void takenBefore(long now) {
    since = now;
  }

  /** Whether there is one. */
  boolean exists() {
    return since != NEVER;
  }

  /** Since when it has been arriving, or {@code Long.MAX_VALUE} if there is none. */
  long since() {
    return since;
  }

  /** When bytes came last. */
  long heardAt() {
    return heardAt;
  }

  /** Its connection has been chosen to end, for a reason that may be this command. */
  void chosen(EndReason reason) {
    chosenAt = reason == EndReason.SLOW_COMMAND ? since : heardAt;
  }

  /** Whether the reason for the end is the command that is here now. */
  boolean isReason(EndReason reason) {
    return switch (reason) {
      case SLOW_COMMAND -> since == chosenAt;
      case STALLED_COMMAND -> heardAt == chosenAt;
      default -> false;
    };
  }
}
