package beaconturn.net.client;

import beaconturn.core.Clock;

/**
 * The limit on how many commands of one connection are rejected in a while. A client that sends
 * wrong commands as fast as it gets their errors would have the router's processor to itself;
 * beyond the pace its next commands wait. Poller thread only.
 */
final class RejectionRateLimit {
  /**
   * Rejections in a window beyond which commands wait; clients do not send so many by mistake or by
   * chance.
   */
  private static final int MAX_REJECTIONS = 16;

  /** Length of a window; connections that wait are looked at again about as often. */
  private static final long WINDOW_NANOS = 50_000_000;

  private final Clock clock;
  private long windowBeganNanos;
  private int rejections;

  RejectionRateLimit(Clock clock) {
    this.clock = clock;
  }

  /** A command has been rejected. */
  void note() {
    if (rejections == 0 || clock.now() - windowBeganNanos >= WINDOW_NANOS) {
      windowBeganNanos = clock.now();
      rejections = 0;
    }
    rejections++;
  }

  /** Whether the next command is to wait. */
  boolean exhausted() {
    return rejections >= MAX_REJECTIONS && clock.now() - windowBeganNanos < WINDOW_NANOS;
  }
}
