package beaconturn.rehearsal.fleet;

import java.io.IOException;
import java.io.UncheckedIOException;

/** Processes of the kit: they end with it, and can be made to stand still. */
public final class ChildProcesses {
  private ChildProcesses() {}

  /** Starts a process; whoever ends the rehearsal by a signal must not leave it behind. */
  public static Process start(ProcessBuilder builder) throws IOException {
    Process process = builder.start();
    Thread hook = new Thread(process::destroyForcibly);
    Runtime.getRuntime().addShutdownHook(hook);
    var unused = process.onExit().thenRun(() -> forget(hook));
    return process;
  }

  private static void forget(Thread hook) {
    try {
      Runtime.getRuntime().removeShutdownHook(hook);
    } catch (IllegalStateException e) {
      // The rehearsal itself is on its way out: the hook has run or is running.
      return;
    }
  }

  /** Has a process stand still, or go on. */
  public static void setPaused(Process process, boolean on) {
    signal(process, on ? "-STOP" : "-CONT");
  }

  /** Tells a process to read its configuration anew. */
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
