package beaconturn.standin;

import java.util.PriorityQueue;

/**
 * The model's only clock, in nanoseconds, and what is to be done later on it. Whoever drives it
 * says how far the time has come: a socket front gives the real time, a test or a simulation any
 * time it likes. A task that is run late still sees the time it was due at, so that the modelled
 * work keeps its length when the driver lags.
 */
public final class EventScheduler {
  private final PriorityQueue<Task> tasks = new PriorityQueue<>();
  private long now;
  private long lastNumber;

  /** An agenda whose time begins there. */
  public EventScheduler(long start) {
    now = start;
  }

  /** Something to be done at a time, until it is called off. */
  public static final class Task implements Comparable<Task> {
    private final long at;
    private final long number;
    private Runnable body;

    private Task(long at, long number, Runnable body) {
      this.at = at;
      this.number = number;
      this.body = body;
    }

    /** Calls it off; harmless when it has run. */
    public void cancel() {
      body = null;
    }

    /** By time, then in the order of their making. */
    @Override
    public int compareTo(Task other) {
      int byTime = Long.compare(at, other.at);
      return byTime != 0 ? byTime : Long.compare(number, other.number);
    }
  }

  /** The time now, in nanoseconds. */
  public long now() {
    return now;
  }

  /**
   * Asks for a task after so many nanoseconds; one that is due already runs at the next advance.
   */
  public Task in(long delay, Runnable body) {
    return at(now + Math.max(0, delay), body);
  }

  /** Asks for a task at a time; a time that is over counts as now. */
  public Task at(long time, Runnable body) {
    Task task = new Task(Math.max(now, time), ++lastNumber, body);
    tasks.add(task);
    return task;
  }

  /**
   * Runs all that is due until then, in order, and sets the time to it; a time that is over changes
   * nothing.
   */
  public void advance(long to) {
    while (!tasks.isEmpty() && tasks.peek().at <= to) {
      Task nextDueAt = tasks.remove();
      now = Math.max(now, nextDueAt.at);
      if (nextDueAt.body != null) {
        nextDueAt.body.run();
      }
    }
    now = Math.max(now, to);
  }

  /** When the next task is due; {@link Long#MAX_VALUE} with none. */
  public long nextDueAt() {
    while (!tasks.isEmpty() && tasks.peek().body == null) {
      tasks.remove();
    }
    return tasks.isEmpty() ? Long.MAX_VALUE : tasks.peek().at;
  }
}
