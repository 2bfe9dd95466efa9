package beaconturn.net.client;

/**
 * Limits how many commands of all connections together are handled per time window, beyond those
 * that each connection may send in any case. Many clients that send commands in a loop then leave
 * the poller and the routing thread time for others. Poller thread only.
 */
final class SharedCommandRate {
  /** More in a window than a router can forward. */
  private static final int MAX_COMMANDS = 512;

  private long windowStartNanos;
  private int commands;

  /** Counts a command that is handled now. */
  void recordCommand(long nowNanos) {
    if (commands == 0 || hasWindowEnded(nowNanos)) {
      windowStartNanos = nowNanos;
      commands = 0;
    }
    commands++;
  }

  /** Whether the next command is to wait. */
  boolean isExceeded(long nowNanos) {
    return commands >= MAX_COMMANDS && !hasWindowEnded(nowNanos);
  }

  private boolean hasWindowEnded(long nowNanos) {
    return nowNanos - windowStartNanos >= CommandRateLimit.WINDOW_NANOS;
  }
}
