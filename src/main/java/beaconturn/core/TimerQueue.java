package beaconturn.core;

import java.util.PriorityQueue;

/** Timers in the order of their times, and then of their making. Routing thread only. */
final class TimerQueue {
  private final PriorityQueue<Timer> queue = new PriorityQueue<>();
  private long timersMade;

  /** One action at its time. */
  static final class Timer implements Comparable<Timer> {
    private final long atNanos;
    private final long order;
    private Runnable action;

    private Timer(long atNanos, long order, Runnable action) {
      this.atNanos = atNanos;
      this.order = order;
      this.action = action;
    }

    /** Has the action not run, and lets go of what its action holds: requests with their values. */
    void cancel() {
      action = () -> {};
    }

    @Override
    public int compareTo(Timer other) {
      return atNanos != other.atNanos
          ? Long.compare(atNanos, other.atNanos)
          : Long.compare(order, other.order);
    }
  }

  /** Has the action run at that time, by the router's clock. */
  Timer at(long timeNanos, Runnable action) {
    Timer timer = new Timer(timeNanos, timersMade++, action);
    queue.add(timer);
    return timer;
  }

  /** The time of the earliest timer, or the given time if that is earlier. */
  long next(long atMostNanos) {
    return queue.isEmpty() ? atMostNanos : Math.min(atMostNanos, queue.peek().atNanos);
  }

  /** Takes the action of the earliest timer that is due, or null. */
  Runnable takeDue(long nowNanos) {
    return queue.isEmpty() || queue.peek().atNanos > nowNanos ? null : queue.poll().action;
  }
}
