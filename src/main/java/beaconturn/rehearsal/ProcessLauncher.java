package beaconturn.rehearsal;

import beaconturn.core.Clock;
import beaconturn.rehearsal.fleet.ChildProcesses;
import beaconturn.rehearsal.fleet.MemoryLeakProgram;
import java.io.File;
import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** Starts each router as a separate process, with the JVM options of a production router. */
public final class ProcessLauncher implements RouterLauncher {
  private static final String MAIN_CLASS = "beaconturn.cli.Main";
  private static final List<String> HEAP_OPTIONS = List.of("-Xms64m", "-Xmx64m");
  private static final long NANOS_PER_MILLI = 1_000_000;

  /** Arguments of {@link MemoryLeakProgram}: rate in kB per second and limit in kB. */
  private static final List<String> LEAK_ARGUMENTS = List.of("4000", "28000");

  private final List<String> programArguments;

  /** Options for the class path alone, to run {@link MemoryLeakProgram} before the main class. */
  private final List<String> classPathArguments;

  private final String mainClassName;

  private ProcessLauncher(
      List<String> programArguments, List<String> classPathArguments, String mainClassName) {
    this.programArguments = programArguments;
    this.classPathArguments = classPathArguments;
    this.mainClassName = mainClassName;
  }

  /** Returns a launcher for the program in a jar. */
  public static ProcessLauncher ofJar(Path jar) {
    return new ProcessLauncher(
        List.of("-jar", jar.toString()), List.of("-cp", jar.toString()), MAIN_CLASS);
  }

  /** Returns a launcher for the program that runs now, from its jar or its class path. */
  public static ProcessLauncher ofCurrentProgram(String mainClass) {
    String classPath = System.getProperty("java.class.path");
    boolean fromJar = classPath.endsWith(".jar") && !classPath.contains(File.pathSeparator);
    return new ProcessLauncher(
        fromJar ? List.of("-jar", classPath) : List.of("-cp", classPath, mainClass),
        List.of("-cp", classPath),
        fromJar ? MAIN_CLASS : mainClass);
  }

  @Override
  public List<String> command(List<String> arguments) {
    return command(programArguments, arguments);
  }

  private static List<String> command(List<String> programArguments, List<String> arguments) {
    List<String> command = new ArrayList<>();
    command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    command.addAll(JvmOptions.ofThisMachine());
    command.addAll(HEAP_OPTIONS);
    command.addAll(programArguments);
    command.addAll(arguments);
    return command;
  }

  private List<String> leakingProgramArguments(long leaksAfterNanos) {
    List<String> arguments = new ArrayList<>(classPathArguments);
    arguments.add(MemoryLeakProgram.class.getName());
    arguments.add(Long.toString(leaksAfterNanos / NANOS_PER_MILLI));
    arguments.addAll(LEAK_ARGUMENTS);
    arguments.add(mainClassName);
    return arguments;
  }

  @Override
  public RunningRouter launch(LaunchOptions options) throws IOException {
    List<String> command =
        command(
            options.leaksAfterNanos() < 0
                ? programArguments
                : leakingProgramArguments(options.leaksAfterNanos()),
            List.of("serve", "--config", options.config().toString()));
    if (options.features() != null) {
      command.addAll(List.of("--features", options.features().toString()));
    }
    if (options.clockOffsetNanos() != 0) {
      command.add(1, "-D" + Clock.OFFSET_PROPERTY + "=" + options.clockOffsetNanos());
    }
    ProcessBuilder builder =
        new ProcessBuilder(command)
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(options.log().toFile()));
    builder.environment().keySet().removeIf(variable -> variable.startsWith("PROXY_"));
    return new ProcessRouter(ChildProcesses.start(builder));
  }

  @Override
  public boolean supportsRestart() {
    return true;
  }

  private static final class ProcessRouter implements RunningRouter {
    private final Process process;
    private long lastCpuNanos = -1;

    private ProcessRouter(Process process) {
      this.process = process;
    }

    @Override
    public boolean isAlive() {
      return process.isAlive();
    }

    @Override
    public void kill() {
      cpuNanos();
      process.destroyForcibly();
    }

    @Override
    public void terminate() {
      cpuNanos();
      process.destroy();
    }

    @Override
    public int awaitExit(long timeoutMillis) throws InterruptedException {
      if (!process.waitFor(timeoutMillis, TimeUnit.MILLISECONDS)) {
        return -1;
      }
      return process.exitValue();
    }

    @Override
    public void setPaused(boolean paused) {
      ChildProcesses.setPaused(process, paused);
    }

    @Override
    public void reloadConfiguration() {
      ChildProcesses.sendHangup(process);
    }

    @Override
    public long pid() {
      return process.pid();
    }

    @Override
    public long cpuNanos() {
      lastCpuNanos = process.info().totalCpuDuration().map(Duration::toNanos).orElse(lastCpuNanos);
      return lastCpuNanos;
    }
  }
}
