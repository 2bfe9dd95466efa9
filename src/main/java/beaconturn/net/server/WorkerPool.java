package beaconturn.net.server;

import beaconturn.net.io.Threads;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * A pool of threads that grows on demand; the most recently used idle thread is used first, so that
 * surplus threads reach their keep-alive time and stop. Each thread waits on its own monitor, for
 * the reason stated at {@link beaconturn.core.Mailbox}. Safe for any thread.
 */
public final class WorkerPool {
  private static final Logger LOG = Logger.getLogger(WorkerPool.class.getName());
  private final String threadName;
  private final long keepAliveNanos;
  // Guarded by this:
  private final Deque<PooledThread> idle = new ArrayDeque<>();
  private int threadCount;

  /** Creates a pool of threads with that name, which stop after that time without a job. */
  public WorkerPool(String threadName, long keepAliveNanos) {
    this.threadName = threadName;
    this.keepAliveNanos = keepAliveNanos;
  }

  /**
   * Runs the job on an idle thread or a new one.
   *
   * @throws OutOfMemoryError if no thread can be started; the job will not run
   */
  void run(Runnable job) {
    PooledThread idleThread = takeIdleOrCountNew();
    if (idleThread != null) {
      idleThread.assign(job);
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

  /** The number of threads, busy and idle. */
  synchronized int threadCount() {
    return threadCount;
  }

  /** Takes an idle thread; null if there is none, and the new thread to start is then counted. */
  private synchronized PooledThread takeIdleOrCountNew() {
    PooledThread idleThread = idle.pollFirst();
    if (idleThread == null) {
      threadCount++;
    }
    return idleThread;
  }

  private synchronized void threadEnded() {
    threadCount--;
  }

  private synchronized void addIdle(PooledThread thread) {
    idle.addFirst(thread);
  }

  /** False if the thread has already been taken for a job. */
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
        LOG.log(Level.SEVERE, threadName + ": job failed on a worker thread; continuing", e);
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
     * Waits for the next job; null if the keep-alive time has passed. If this thread was taken for
     * a job just as the time passed, it is no longer in the idle list and waits for that job, which
     * would otherwise be lost.
     */
    private Runnable awaitNext() throws InterruptedException {
      addIdle(this);
      if (!awaitAssigned(keepAliveNanos) && removeIdle(this)) {
        return null;
      }
      awaitAssigned(Long.MAX_VALUE);
      return takeAssigned();
    }

    /** Waits for a job at most that time; true if one was assigned. */
    private synchronized boolean awaitAssigned(long timeoutNanos) throws InterruptedException {
      long startNanos = System.nanoTime();
      long leftNanos = timeoutNanos;
      while (assigned == null && leftNanos > 0) {
        TimeUnit.NANOSECONDS.timedWait(this, leftNanos);
        leftNanos = timeoutNanos - (System.nanoTime() - startNanos);
      }
      return assigned != null;
    }
  }
}
