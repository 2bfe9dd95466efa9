package beaconturn.standin;

import java.util.ArrayDeque;
import java.util.Deque;

/** Sums the work that was offered within a sliding window, in nanoseconds of a warm worker. */
final class WorkWindow {
  private final long windowNanos;

  /** Pairs of time and work, the oldest first. */
  private final Deque<long[]> samples = new ArrayDeque<>();

  private long totalNanos;

  WorkWindow(long windowNanos) {
    this.windowNanos = windowNanos;
  }

  /** Adds work and returns the sum over the window that ends now. */
  long add(long nowNanos, long workNanos) {
    samples.add(new long[] {nowNanos, workNanos});
    totalNanos += workNanos;
    while (!samples.isEmpty() && samples.peek()[0] <= nowNanos - windowNanos) {
      totalNanos -= samples.remove()[1];
    }
    return totalNanos;
  }
}
