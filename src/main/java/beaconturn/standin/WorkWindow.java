package beaconturn.standin;

import java.util.ArrayDeque;
import java.util.Deque;

/** The work that was sent within a sliding time, in nanoseconds of a warm worker. */
final class WorkWindow {
  private final long window;
  private final Deque<long[]> sent = new ArrayDeque<>();
  private long sum;

  WorkWindow(long window) {
    this.window = window;
  }

  /** Adds work and returns all of it within the window that ends now. */
  long add(long now, long work) {
    sent.add(new long[] {now, work});
    sum += work;
    while (!sent.isEmpty() && sent.peek()[0] <= now - window) {
      sum -= sent.remove()[1];
    }
    return sum;
  }
}
