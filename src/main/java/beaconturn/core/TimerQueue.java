package beaconturn.core;

import java.util.PriorityQueue;

/** A queue of timers by due time, then by order of creation. Confined to the routing thread. */
final class TimerQueue {
  private final PriorityQueue<Timer> queue = new PriorityQueue<>();
  private long timersCreated;

  /** An action that is due at a time. */
  static final class Timer implements Comparable<Timer> {
    private final long dueAtNanos;
    private final long sequenceNumber;
    private Runnable action;

    private Timer(long dueAtNanos, long sequenceNumber, Runnable action) {
      this.dueAtNanos = dueAtNanos;
      this.sequenceNumber = sequenceNumber;
      this.action = action;
    }

    /** Cancels the timer and releases what its action references, such as requests with values. */
    void cancel() {
      action = () -> {};
    }

    @Override
    public int compareTo(Timer other) {
      return dueAtNanos != other.dueAtNanos
          ? Long.compare(dueAtNanos, other.dueAtNanos)
          : Long.compare(sequenceNumber, other.sequenceNumber);
    }
  }

  /** Schedules the action for {@code timeNanos}, by the router's clock. */
  Timer at(long timeNanos, Runnable action) {
    Timer timer = new Timer(timeNanos, timersCreated++, action);
    queue.add(timer);
    return timer;
  }

  /** The due time of the earliest timer, at most {@code latestNanos}. */
  long next(long latestNanos) {
    return queue.isEmpty() ? latestNanos : Math.min(latestNanos, queue.peek().dueAtNanos);
  }

  /** Removes the earliest timer that is due and returns its action; null if none is due. */
  Runnable takeDue(long nowNanos) {
    return queue.isEmpty() || queue.peek().dueAtNanos > nowNanos ? null : queue.poll().action;
  }
}
