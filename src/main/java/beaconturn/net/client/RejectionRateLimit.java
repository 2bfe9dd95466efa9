package beaconturn.net.client;

import beaconturn.core.Clock;

/**
 * Limits how many commands of one connection are rejected per time window. Commands beyond the
 * limit wait, so that a client that sends invalid commands in a loop cannot occupy the poller.
 * Poller thread only.
 */
final class RejectionRateLimit {
  /** Rejections per window beyond which commands wait; above what a client sends by mistake. */
  private static final int MAX_REJECTIONS = 16;

  /** Length of a window, about the interval at which throttled connections are rechecked. */
  private static final long WINDOW_NANOS = 50_000_000;

  private final Clock clock;
  private long windowStartNanos;
  private int rejections;

  RejectionRateLimit(Clock clock) {
    this.clock = clock;
  }

  void recordRejection() {
    if (rejections == 0 || clock.now() - windowStartNanos >= WINDOW_NANOS) {
      windowStartNanos = clock.now();
      rejections = 0;
    }
    rejections++;
  }

  /** Whether the next command is to wait. */
  boolean isExceeded() {
    return rejections >= MAX_REJECTIONS && clock.now() - windowStartNanos < WINDOW_NANOS;
  }
}
