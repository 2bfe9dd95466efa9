package beaconturn.net.client;

import beaconturn.core.Clock;

/**
 * How many commands of one connection are rejected in a while. A client that sends wrong commands
 * as fast as it gets their errors would have the router's processor to itself; beyond the pace its
 * next commands wait. For the poller's thread.
 */
final class RejectionRateLimit {
  /** More than clients send by mistake or by chance. */
  private static final int MOST = 16;

  /** Waiting connections are looked at again about as often. */
  private static final long WINDOW = 50_000_000;

  private final Clock clock;
  private long began;
  private int count;

  RejectionRateLimit(Clock clock) {
    this.clock = clock;
  }

  /** A command has been rejected. */
  void note() {
    if (count == 0 || clock.now() - began >= WINDOW) {
      began = clock.now();
      count = 0;
    }
    count++;
  }

  /** Whether the next command is to wait. */
  boolean exhausted() {
    return count >= MOST && clock.now() - began < WINDOW;
  }
}
