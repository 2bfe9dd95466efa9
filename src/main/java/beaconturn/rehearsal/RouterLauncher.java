package beaconturn.rehearsal;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;

/** Starts the routers of a rehearsal, as separate processes or inside this one. */
public interface RouterLauncher {
  /**
   * What a router is started with.
   *
   * @param name the router's name
   * @param config its configuration file
   * @param features its features file, or null
   * @param log the file that receives its log
   * @param clockOffsetNanos offset of its wall clock
   * @param leaksAfterNanos time from its start after which it leaks memory; negative for never
   */
  record LaunchOptions(
      String name,
      Path config,
      Path features,
      Path log,
      long clockOffsetNanos,
      long leaksAfterNanos) {}

  /** Starts a router without waiting until it is ready. */
  RunningRouter launch(LaunchOptions options) throws IOException;

  /**
   * Returns the command line that runs this program with the arguments; empty if routers run inside
   * this process.
   */
  default List<String> command(List<String> arguments) {
    return List.of();
  }

  /** Returns whether routers can be killed and started again. */
  boolean supportsRestart();

  /** A router that has been started. */
  interface RunningRouter {
    /** Returns whether the router still runs. */
    boolean isAlive();

    /** Kills the router without a shutdown. */
    void kill();

    /** Requests a planned stop, as SIGTERM does. */
    void terminate();

    /** Waits for the end of the router; returns its exit status, or -1 if it still runs. */
    int awaitExit(long timeoutMillis) throws InterruptedException;

    /** Pauses or resumes the process. */
    default void setPaused(boolean paused) {
      throw new UnsupportedOperationException("only a router in its own process can be paused");
    }

    /** Makes the router read its configuration again, as SIGHUP does. */
    default void reloadConfiguration() {
      throw new UnsupportedOperationException("only a router in its own process can be reloaded");
    }

    /** Returns the process id, or -1 if the router has no process of its own. */
    default long pid() {
      return -1;
    }

    /** Returns the processor time used so far, or a negative value if it is unknown. */
    long cpuNanos();
  }
}
