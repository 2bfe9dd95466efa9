package beaconturn.net.io;

import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * Factory of the platform threads: daemons with small stacks, whose failures are logged and end
 * nothing else. Any thread may call.
 */
public final class Threads {
  private static final Logger LOG = Logger.getLogger(Threads.class.getName());
  private static final long STACK_BYTES = 192 * 1024;

  /**
   * Between a failure of a supervised loop and its next beginning: a lasting failure must not spin.
   */
  private static final long RESTART_PAUSE_MILLIS = 10;

  private Threads() {}

  /** The body of a thread that runs until it is interrupted. */
  public interface Loop {
    /** Runs until there is nothing left to do, or the thread is interrupted. */
    void run() throws InterruptedException;
  }

  /**
   * Starts a thread that the router cannot do without: whatever its loop throws is logged, and the
   * loop begins anew after a pause. It ends when the loop returns or is interrupted.
   */
  public static Thread supervised(String name, Loop loop) {
    return start(name, () -> supervise(name, loop));
  }

  private static void supervise(String name, Loop loop) {
    try {
      while (!finished(name, loop)) {
        Thread.sleep(RESTART_PAUSE_MILLIS);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static boolean finished(String name, Loop loop) throws InterruptedException {
    try {
      loop.run();
      return true;
    } catch (RuntimeException | Error e) {
      report(name, e);
      return false;
    }
  }

  /** Without memory even the log may fail, which must not end the thread either. */
  private static void report(String name, Throwable failure) {
    try {
      LOG.log(Level.SEVERE, "thread " + name + " failed and begins anew", failure);
    } catch (RuntimeException | Error e) {
      // There is nowhere left to say it.
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
