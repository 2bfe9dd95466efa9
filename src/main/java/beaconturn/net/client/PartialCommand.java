package beaconturn.net.client;

import beaconturn.net.client.ConnectionState.CloseProposal;

/**
 * Timing of the command that has partially arrived on a connection. Written by the poller thread,
 * read by any thread.
 */
final class PartialCommand {
  private static final long NEVER = Long.MAX_VALUE;
  private volatile long startedAtNanos = NEVER;
  private volatile long lastBytesAtNanos;

  /** Records that bytes have arrived. */
  void bytesArrived(long nowNanos) {
    lastBytesAtNanos = nowNanos;
    startedAtNanos = Math.min(startedAtNanos, nowNanos);
  }

  /** Records that a complete command was taken and no bytes follow. */
  void completed() {
    startedAtNanos = NEVER;
  }

  /** Records that a complete command was taken and bytes of the next one follow. */
  void nextStarted(long nowNanos) {
    startedAtNanos = nowNanos;
  }

  boolean exists() {
    return startedAtNanos != NEVER;
  }

  /** When the first bytes arrived, or {@code Long.MAX_VALUE} if there is no partial command. */
  long startedAtNanos() {
    return startedAtNanos;
  }

  /** When the last bytes arrived. */
  long lastBytesAtNanos() {
    return lastBytesAtNanos;
  }

  /** Creates a proposal to close the connection that records the current state of this command. */
  CloseProposal proposeClose(CloseReason reason) {
    return new CloseProposal(reason, startedAtNanos, lastBytesAtNanos);
  }

  /**
   * Whether the proposal was made because of the current command; for a stalled command, also
   * whether no more bytes have arrived since.
   */
  boolean isReasonFor(CloseProposal proposal) {
    return switch (proposal.reason()) {
      case COMMAND_TIMEOUT -> startedAtNanos == proposal.startedAtNanos();
      case STALLED_COMMAND -> lastBytesAtNanos == proposal.lastBytesAtNanos();
      default -> false;
    };
  }
}
