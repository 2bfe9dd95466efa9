package beaconturn.core;

import java.util.PriorityQueue;

/** What is due when, in order of time and then of asking; for one thread. */
final class TimerQueue {
  private final PriorityQueue<Timer> queue = new PriorityQueue<>();
  private long asked;

  /** One action at its time. */
  static final class Timer implements Comparable<Timer> {
    private final long at;
    private final long order;
    private Runnable action;

    private Timer(long at, long order, Runnable action) {
      this.at = at;
      this.order = order;
      this.action = action;
    }

    /** It will not run, and lets go of what its action holds: requests with their values. */
    void cancel() {
      action = () -> {};
    }

    @Override
    public int compareTo(Timer other) {
      return at != other.at ? Long.compare(at, other.at) : Long.compare(order, other.order);
    }
  }

  Timer at(long time, Runnable action) {
    Timer timer = new Timer(time, asked++, action);
    queue.add(timer);
    return timer;
  }

  /** The time of the earliest timer, or the given time if that is earlier. */
  long next(long atMost) {
    return queue.isEmpty() ? atMost : Math.min(atMost, queue.peek().at);
  }

  /** Takes the action of the earliest timer that is due, or null. */
  Runnable takeDue(long now) {
    return queue.isEmpty() || queue.peek().at > now ? null : queue.poll().action;
  }
}
