package beaconturn.net.io;

import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * Creates platform threads: daemons with small stacks, whose failures are logged and affect no
 * other thread. For any thread.
 */
public final class Threads {
  private static final Logger LOG = Logger.getLogger(Threads.class.getName());
  private static final long STACK_BYTES = 192 * 1024;

  /** Pause before a failed loop is restarted, so that a persistent failure does not spin. */
  private static final long RESTART_PAUSE_MILLIS = 10;

  private Threads() {}

  /** The body of a thread that runs until it is interrupted. */
  public interface Loop {
    /** Runs until there is nothing left to do, or the thread is interrupted. */
    void run() throws InterruptedException;
  }

  /**
   * Starts a thread that the router cannot do without: any failure of its loop is logged, and the
   * loop is restarted after a pause. Exits when the loop returns or is interrupted.
   */
  public static Thread supervised(String name, Loop loop) {
    return start(name, () -> supervise(name, loop));
  }

  private static void supervise(String name, Loop loop) {
    try {
      while (!runOnce(name, loop)) {
        Thread.sleep(RESTART_PAUSE_MILLIS);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static boolean runOnce(String name, Loop loop) throws InterruptedException {
    try {
      loop.run();
      return true;
    } catch (RuntimeException | Error e) {
      report(name, e);
      return false;
    }
  }

  /** Logs a failure. Logging may fail too if memory is exhausted, which must not end the thread. */
  private static void report(String name, Throwable failure) {
    try {
      LOG.log(Level.SEVERE, "thread " + name + " failed and is restarted", failure);
    } catch (RuntimeException | Error e) {
      // Nothing more can be done.
      return;
    }
  }

  /** Starts a thread whose failure ends only itself. */
  public static Thread start(String name, Runnable body) {
    Thread thread = new Thread(null, body, name, STACK_BYTES);
    thread.setDaemon(true);
    thread.setUncaughtExceptionHandler((t, e) -> LOG.log(Level.SEVERE, "thread " + t.getName(), e));
    thread.start();
    return thread;
  }
}
