package beaconturn.rehearsal;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;

/** Starts routers under rehearsal, as processes or otherwise. */
public interface RouterLauncher {
  /**
   * What a router is started with.
   *
   * @param name of the router
   * @param config its configuration
   * @param features the operators' file of what else is on, or null
   * @param log where its log goes
   * @param clockOff how far its wall clock is off, in nanoseconds
   * @param leaksAfter nanoseconds from its start after which its memory grows, below 0 where it
   *     does not
   */
  record LaunchOptions(String name, Path config, Path features, Path log, long clockOffsetNanos, long leaksAfterNanos) {}

  /** Starts a router; it need not be ready yet. */
  RunningRouter launch(LaunchOptions start) throws IOException;

  /**
   * The command line of the same program with these words; empty where it is no process of its own.
   */
  default List<String> command(List<String> words) {
    return List.of();
  }

  /** Whether its routers can be killed and started again. */
  boolean supportsRestart();

  /** A router that has been started. */
  interface RunningRouter {
    /** Whether it still runs. */
    boolean isAlive();

    /** Ends it outright. */
    void kill();

    /** Tells it to stop as planned. */
    void terminate();

    /**
     * Waits for its end, but not longer than so many milliseconds: its exit status, or -1 if it
     * still runs.
     */
    int awaitExit(long millis) throws InterruptedException;

    /** Has it stand still, or go on. */
    default void setPaused(boolean on) {
      throw new UnsupportedOperationException("not a process of its own");
    }

    /** Tells it to read its configuration anew. */
    default void reloadConfiguration() {
      throw new UnsupportedOperationException("not a process of its own");
    }

    /** Its process id, or -1 where it is no process of its own. */
    default long pid() {
      return -1;
    }

    /** Processor time that it has used, in nanoseconds; below 0 where that is not known. */
    long cpuNanos();
  }
}
