package beaconturn.rehearsal.fleet;

import java.io.Closeable;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * The agent of one router as a process, which can be killed, started again and made to stand still.
 */
public final class AgentProcess implements Closeable {
  private static final int END_SECONDS = 3;
  private final List<String> command;
  private final Path log;
  private Process process;

  /** An agent with that command line; its log goes to the file. */
  public AgentProcess(List<String> command, Path log) {
    this.command = List.copyOf(command);
    this.log = log;
  }

  /** Starts it, again too. */
  public synchronized void start() throws IOException {
    process =
        ChildProcesses.start(
            new ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile())));
  }

  /** Ends it outright; what it had begun goes on. */
  public synchronized void kill() {
    process.destroyForcibly();
  }

  /** Has it stand still, or go on. */
  public synchronized void setPaused(boolean on) {
    ChildProcesses.setPaused(process, on);
  }

  /** Its process id. */
  public synchronized long pid() {
    return process.pid();
  }

  @Override
  public synchronized void close() {
    if (process != null) {
      process.destroyForcibly();
      try {
        process.waitFor(END_SECONDS, TimeUnit.SECONDS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
  }
}
