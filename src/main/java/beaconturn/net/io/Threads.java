package beaconturn.net.io;

import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * Makes the platform threads: daemons with small stacks, whose failures are logged and end nothing
 * else.
 */
public final class Threads {
  private static final Logger LOG = Logger.getLogger(Threads.class.getName());
  private static final long STACK_BYTES = 192 * 1024;

  /**
   * Between a failure of a supervised loop and its next beginning: a lasting failure must not spin.
   */
  private static final long PAUSE_MILLIS = 10;

  private Threads() {}

  /** What a thread does until it is interrupted. */
  public interface Loop {
    void run() throws InterruptedException;
  }

  /**
   * A thread that the router cannot do without: whatever its loop throws is logged, and the loop
   * begins anew after a pause. It ends when the loop returns or is interrupted.
   */
  public static Thread supervised(String name, Loop loop) {
    return start(name, () -> supervise(name, loop));
  }

  private static void supervise(String name, Loop loop) {
    try {
      while (!finished(name, loop)) {
        Thread.sleep(PAUSE_MILLIS);
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

  public static Thread start(String name, Runnable body) {
    Thread thread = new Thread(null, body, name, STACK_BYTES);
    thread.setDaemon(true);
    thread.setUncaughtExceptionHandler((t, e) -> LOG.log(Level.SEVERE, "thread " + t.getName(), e));
    thread.start();
    return thread;
  }
}
