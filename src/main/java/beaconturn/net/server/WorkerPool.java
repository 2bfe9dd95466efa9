package beaconturn.net.server;

import beaconturn.net.io.Threads;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * Threads that run one job at a time and wait a while for the next; safe for any thread. The one
 * that came back last is used first, so that those too many wait in vain and end. Each waits on its
 * own monitor, for the reason that {@link beaconturn.core.Mailbox} gives.
 */
public final class WorkerPool {
  private static final Logger LOG = Logger.getLogger(WorkerPool.class.getName());
  private final String threadName;
  private final long keepAliveNanos;
  // Guarded by this:
  private final Deque<PooledThread> idle = new ArrayDeque<>();
  private int threadCount;

  /** Threads of that name that end when they have waited so long for a job. */
  public WorkerPool(String threadName, long keepAliveNanos) {
    this.threadName = threadName;
    this.keepAliveNanos = keepAliveNanos;
  }

  /**
   * Runs the job on a thread that waits, or on a new one.
   *
   * @throws OutOfMemoryError if no thread can be had; the job will not run
   */
  void run(Runnable job) {
    PooledThread waiting = takeIdleOrCountNew();
    if (waiting != null) {
      waiting.assign(job);
      return;
    }
    boolean started = false;
    try {
      Threads.start(threadName, new PooledThread(job));
      started = true;
    } finally {
      if (!started) {
        threadEnded();
      }
    }
  }

  /** How many threads there are, at work or waiting. */
  synchronized int threadCount() {
    return threadCount;
  }

  /** Null if none waits; the one that the caller then starts is counted already. */
  private synchronized PooledThread takeIdleOrCountNew() {
    PooledThread waiting = idle.pollFirst();
    if (waiting == null) {
      threadCount++;
    }
    return waiting;
  }

  private synchronized void threadEnded() {
    threadCount--;
  }

  private synchronized void addIdle(PooledThread thread) {
    idle.addFirst(thread);
  }

  /** False if the thread was chosen for a job meanwhile. */
  private synchronized boolean removeIdle(PooledThread thread) {
    return idle.remove(thread);
  }

  private final class PooledThread implements Runnable {
    // Guarded by this:
    private Runnable assigned;

    PooledThread(Runnable firstJob) {
      this.assigned = firstJob;
    }

    @Override
    public void run() {
      try {
        for (Runnable job = takeAssigned(); job != null; job = awaitNext()) {
          perform(job);
        }
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      } finally {
        threadEnded();
      }
    }

    private void perform(Runnable job) {
      try {
        job.run();
      } catch (RuntimeException | Error e) {
        LOG.log(Level.SEVERE, threadName + ": a job failed, and its thread goes on", e);
      }
    }

    private synchronized void assign(Runnable job) {
      assigned = job;
      notifyAll();
    }

    private synchronized Runnable takeAssigned() {
      Runnable job = assigned;
      assigned = null;
      return job;
    }

    /**
     * The next job, or null once this thread has waited long enough and nobody has chosen it. A job
     * could be lost where it is assigned just as the wait ends: whoever was chosen is not idle any
     * more, and waits on for the job that is on its way.
     */
    private Runnable awaitNext() throws InterruptedException {
      addIdle(this);
      if (!awaitAssigned(keepAliveNanos) && removeIdle(this)) {
        return null;
      }
      awaitAssigned(Long.MAX_VALUE);
      return takeAssigned();
    }

    /** Waits for a job for so long; whether there is one. */
    private synchronized boolean awaitAssigned(long timeoutNanos) throws InterruptedException {
      long beganNanos = System.nanoTime();
      long leftNanos = timeoutNanos;
      while (assigned == null && leftNanos > 0) {
        TimeUnit.NANOSECONDS.timedWait(this, leftNanos);
        leftNanos = timeoutNanos - (System.nanoTime() - beganNanos);
      }
      return assigned != null;
    }
  }
}
