package beaconturn.rehearsal.fleet;

import java.io.IOException;
import java.io.UncheckedIOException;

/** Starts child processes that end with this process, and sends them signals. */
public final class ChildProcesses {
  private ChildProcesses() {}

  /** Starts a process that is killed when this process ends, also if a signal ends it. */
  public static Process start(ProcessBuilder builder) throws IOException {
    Process process = builder.start();
    Thread hook = new Thread(process::destroyForcibly);
    Runtime.getRuntime().addShutdownHook(hook);
    var unused = process.onExit().thenRun(() -> removeHook(hook));
    return process;
  }

  private static void removeHook(Thread hook) {
    try {
      Runtime.getRuntime().removeShutdownHook(hook);
    } catch (IllegalStateException e) {
      // This process is shutting down: the hook has run or is running.
      return;
    }
  }

  /** Pauses or resumes a process. */
  public static void setPaused(Process process, boolean paused) {
    signal(process, paused ? "-STOP" : "-CONT");
  }

  /** Sends SIGHUP, by which a router reads its configuration again. */
  public static void sendHangup(Process process) {
    signal(process, "-HUP");
  }

  private static void signal(Process process, String signal) {
    try {
      new ProcessBuilder("kill", signal, Long.toString(process.pid())).start().waitFor();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
