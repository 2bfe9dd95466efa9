package beaconturn.net.server;

import beaconturn.net.io.Threads;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * Threads that carry one job at a time and wait a while for the next. The one that came back last
 * is used first, so that those too many wait in vain and end. Each waits on its own monitor, for
 * the reason that {@link beaconturn.core.Mailbox} gives.
 */
public final class WorkerPool {
  private static final Logger LOG = Logger.getLogger(WorkerPool.class.getName());
  private final String name;
  private final long keep;
  // Guarded by this:
  private final Deque<Worker> idle = new ArrayDeque<>();
  private int threads;

  /** Threads of that name that end when they have waited so many nanoseconds for a job. */
  public WorkerPool(String name, long keep) {
    this.name = name;
    this.keep = keep;
  }

  /**
   * Runs the job on a thread that waits, or on a new one; an OutOfMemoryError if none can be had.
   */
  void run(Runnable job) {
    Worker waiting;
    synchronized (this) {
      waiting = idle.pollFirst();
      threads += waiting == null ? 1 : 0;
    }
    if (waiting != null) {
      waiting.take(job);
      return;
    }
    boolean started = false;
    try {
      Threads.start(name, new Worker(job));
      started = true;
    } finally {
      if (!started) {
        ended();
      }
    }
  }

  /** How many threads there are, at work or waiting. */
  synchronized int threads() {
    return threads;
  }

  private synchronized void ended() {
    threads--;
  }

  private synchronized void waits(Worker worker) {
    idle.addFirst(worker);
  }

  private synchronized boolean leaves(Worker worker) {
    return idle.remove(worker);
  }

  private final class Worker implements Runnable {
    // Guarded by this:
    private Runnable job;

    Worker(Runnable first) {
      this.job = first;
    }

    @Override
    public void run() {
      try {
        for (Runnable next = taken(); next != null; next = next()) {
          perform(next);
        }
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      } finally {
        ended();
      }
    }

    private void perform(Runnable next) {
      try {
        next.run();
      } catch (RuntimeException | Error e) {
        LOG.log(Level.SEVERE, name + ": a job failed, and its thread goes on", e);
      }
    }

    private synchronized void take(Runnable next) {
      job = next;
      notifyAll();
    }

    private synchronized Runnable taken() {
      Runnable next = job;
      job = null;
      return next;
    }

    /** Null once it has waited long enough and nobody has chosen it meanwhile. */
    private Runnable next() throws InterruptedException {
      waits(this);
      if (!waited(keep) && leaves(this)) {
        return null;
      }
      waited(Long.MAX_VALUE);
      return taken();
    }

    /** Waits for a job so many nanoseconds; whether there is one. */
    private synchronized boolean waited(long nanos) throws InterruptedException {
      long began = System.nanoTime();
      for (long left = nanos; job == null && left > 0; left = nanos - (System.nanoTime() - began)) {
        TimeUnit.NANOSECONDS.timedWait(this, left);
      }
      return job != null;
    }
  }
}
