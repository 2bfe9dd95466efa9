package beaconturn.standin;

import java.util.ArrayDeque;
import java.util.Deque;

/** The work that was sent within a sliding time, in nanoseconds of a warm worker. */
final class WorkWindow {
  private final long windowNanos;
  private final Deque<long[]> samples = new ArrayDeque<>();
  private long totalNanos;

  WorkWindow(long windowNanos) {
    this.windowNanos = windowNanos;
  }

  /** Adds work and returns all of it within the window that ends now. */
  long add(long now, long work) {
    samples.add(new long[] {now, work});
    totalNanos += work;
    while (!samples.isEmpty() && samples.peek()[0] <= now - windowNanos) {
      totalNanos -= samples.remove()[1];
    }
    return totalNanos;
  }
}
