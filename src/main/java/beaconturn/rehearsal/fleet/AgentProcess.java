package beaconturn.rehearsal.fleet;

import java.io.Closeable;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** The rollout agent of one instance as a process that can be killed, restarted and paused. */
public final class AgentProcess implements Closeable {
  private static final int KILL_TIMEOUT_SECONDS = 3;
  private final List<String> command;
  private final Path log;
  private Process process;

  /** Creates an agent with the command line; it is not started yet. */
  public AgentProcess(List<String> command, Path log) {
    this.command = List.copyOf(command);
    this.log = log;
  }

  /** Starts the process, also after it was killed; its output is appended to the log. */
  public synchronized void start() throws IOException {
    process =
        ChildProcesses.start(
            new ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile())));
  }

  /** Kills the process; a restart that it has requested continues. */
  public synchronized void kill() {
    process.destroyForcibly();
  }

  /** Pauses or resumes the process. */
  public synchronized void setPaused(boolean paused) {
    ChildProcesses.setPaused(process, paused);
  }

  public synchronized long pid() {
    return process.pid();
  }

  @Override
  public synchronized void close() {
    if (process != null) {
      process.destroyForcibly();
      try {
        process.waitFor(KILL_TIMEOUT_SECONDS, TimeUnit.SECONDS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
  }
}
