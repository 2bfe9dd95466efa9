package beaconturn.net.client;

import beaconturn.core.Clock;

/**
 * Limits how many commands of one connection are handled per time window, and how many of them may
 * be rejected. Commands beyond a limit wait, so that a client that sends commands in a loop cannot
 * occupy the poller or the routing thread. Poller thread only.
 */
final class CommandRateLimit {
  /** Rejections per window beyond which commands wait; above what a client sends by mistake. */
  private static final int MAX_REJECTIONS = 16;

  /** Commands per window beyond which commands wait. */
  private static final int MAX_COMMANDS = 128;

  /** Commands per window that do not count towards the rate of all connections together. */
  private static final int RESERVED_COMMANDS = 4;

  /** Length of a window, about the interval at which throttled connections are rechecked. */
  static final long WINDOW_NANOS = 50_000_000;

  private final Clock clock;
  private final SharedCommandRate shared;
  private long windowStartNanos;
  private int commands;
  private int rejections;

  /** Creates the limit of one connection; {@code shared} is that of all together. */
  CommandRateLimit(Clock clock, SharedCommandRate shared) {
    this.clock = clock;
    this.shared = shared;
  }

  /** Counts a command that is handled now. */
  void recordCommand() {
    long nowNanos = clock.now();
    if (commands == 0 || nowNanos - windowStartNanos >= WINDOW_NANOS) {
      windowStartNanos = nowNanos;
      commands = 0;
      rejections = 0;
    }
    commands++;
    if (commands > RESERVED_COMMANDS) {
      shared.recordCommand(nowNanos);
    }
  }

  /** Counts the current command as rejected. */
  void recordRejection() {
    rejections++;
  }

  /** Whether the next command is to wait. */
  boolean isExceeded() {
    long nowNanos = clock.now();
    boolean overLimit =
        rejections >= MAX_REJECTIONS
            || commands >= MAX_COMMANDS
            || (commands >= RESERVED_COMMANDS && shared.isExceeded(nowNanos));
    return overLimit && nowNanos - windowStartNanos < WINDOW_NANOS;
  }
}
