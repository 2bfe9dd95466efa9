package beaconturn.standin;

import java.util.PriorityQueue;

/**
 * The model's only clock, in nanoseconds, and the tasks that are due on it.
 *
 * <p>The caller advances the time: an event loop to the real time, a test or a simulation to any
 * time. A task that runs late still sees the time at which it was due, so that modelled work keeps
 * its length if the caller lags.
 */
public final class EventScheduler {
  private final PriorityQueue<Task> tasks = new PriorityQueue<>();
  private long nowNanos;
  private long lastSequence;

  /** Creates a scheduler whose clock starts at the given time. */
  public EventScheduler(long startNanos) {
    nowNanos = startNanos;
  }

  /** A scheduled task. */
  public static final class Task implements Comparable<Task> {
    private final long dueNanos;
    private final long sequence;
    private Runnable body;

    private Task(long dueNanos, long sequence, Runnable body) {
      this.dueNanos = dueNanos;
      this.sequence = sequence;
      this.body = body;
    }

    /** Cancels the task; has no effect if it has run. */
    public void cancel() {
      body = null;
    }

    /** Orders tasks by due time, then by the order in which they were scheduled. */
    @Override
    public int compareTo(Task other) {
      int byTime = Long.compare(dueNanos, other.dueNanos);
      return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
    }
  }

  /** Returns the current time in nanoseconds. */
  public long now() {
    return nowNanos;
  }

  /** Schedules a task after a delay; a task without delay runs at the next advance. */
  public Task in(long delayNanos, Runnable body) {
    return at(nowNanos + Math.max(0, delayNanos), body);
  }

  /** Schedules a task at a time; a time in the past counts as now. */
  public Task at(long timeNanos, Runnable body) {
    Task task = new Task(Math.max(nowNanos, timeNanos), ++lastSequence, body);
    tasks.add(task);
    return task;
  }

  /**
   * Runs all tasks that are due up to a time, in order, and sets the clock to it; the clock never
   * goes back.
   */
  public void advance(long toNanos) {
    while (!tasks.isEmpty() && tasks.peek().dueNanos <= toNanos) {
      Task next = tasks.remove();
      nowNanos = Math.max(nowNanos, next.dueNanos);
      if (next.body != null) {
        next.body.run();
      }
    }
    nowNanos = Math.max(nowNanos, toNanos);
  }

  /** Returns when the next task is due, or {@link Long#MAX_VALUE} if there is none. */
  public long nextDueNanos() {
    while (!tasks.isEmpty() && tasks.peek().body == null) {
      tasks.remove();
    }
    return tasks.isEmpty() ? Long.MAX_VALUE : tasks.peek().dueNanos;
  }
}
