package beaconturn.net.client;

import beaconturn.net.client.ConnectionState.EndProposal;

/**
 * The command of a connection that has begun to arrive and is not whole: since when, and when bytes
 * came last. Written by the poller's thread, read by any.
 */
final class PartialCommand {
  private static final long NEVER = Long.MAX_VALUE;
  private volatile long beganAtNanos = NEVER;
  private volatile long lastBytesAtNanos;

  /** Notes that bytes have come. */
  void bytesArrived(long nowNanos) {
    lastBytesAtNanos = nowNanos;
    beganAtNanos = Math.min(beganAtNanos, nowNanos);
  }

  /** Notes that a whole command has been taken, and nothing is there behind it. */
  void completed() {
    beganAtNanos = NEVER;
  }

  /** Notes that a whole command has been taken, and bytes of another are there already. */
  void completedBeforeNext(long nowNanos) {
    beganAtNanos = nowNanos;
  }

  /** Whether there is one. */
  boolean exists() {
    return beganAtNanos != NEVER;
  }

  /** Since when it has been arriving, or {@code Long.MAX_VALUE} if there is none. */
  long beganAtNanos() {
    return beganAtNanos;
  }

  /** When bytes came last. */
  long lastBytesAtNanos() {
    return lastBytesAtNanos;
  }

  /** A proposal to end the connection that names this command as it is now. */
  EndProposal proposeEnd(EndReason reason) {
    return new EndProposal(reason, beganAtNanos, lastBytesAtNanos);
  }

  /**
   * Whether the proposal is about the command that is here now, and, where that stood still, no
   * more of it has come since.
   */
  boolean isReasonOf(EndProposal proposal) {
    return switch (proposal.reason()) {
      case SLOW_COMMAND -> beganAtNanos == proposal.beganAtNanos();
      case STALLED_COMMAND -> lastBytesAtNanos == proposal.lastBytesAtNanos();
      default -> false;
    };
  }
}
