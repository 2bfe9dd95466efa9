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

/** Starts each router as a process of its own, with the options that operators start one with. */
public final class ProcessLauncher implements RouterLauncher {
  private static final String MAIN = "beaconturn.cli.Main";
  private static final List<String> OPTIONS =
      List.of(
          "-XX:+UseSerialGC",
          "-XX:TieredStopAtLevel=1",
          "-Xshare:auto",
          "-Xss256k",
          "-XX:StackShadowPages=10",
          "-Xms64m",
          "-Xmx64m",
          "-XX:MaxDirectMemorySize=24m",
          "-XX:-UsePerfData",
          "-Djdk.nio.maxCachedBufferSize=8192");
  private static final long MILLI = 1_000_000;

  /** What a router that leaks does so with: kB a second, up to so many. */
  private static final List<String> LEAK = List.of("4000", "28000");

  private final List<String> program;

  /** The same by its class path and main class, for what is put before it. */
  private final List<String> path;

  private final String main;

  private ProcessLauncher(List<String> program, List<String> path, String main) {
    this.program = program;
    this.path = path;
    this.main = main;
  }

  /** Routers from a jar. */
  public static ProcessLauncher ofJar(Path jar) {
    return new ProcessLauncher(
        List.of("-jar", jar.toString()), List.of("-cp", jar.toString()), MAIN);
  }

  /** Routers from the classes that run now: the jar they are in, or the class path of a build. */
  public static ProcessLauncher ofCurrentProgram(String mainClass) {
    String path = System.getProperty("java.class.path");
    boolean jar = path.endsWith(".jar") && !path.contains(File.pathSeparator);
    return new ProcessLauncher(
        jar ? List.of("-jar", path) : List.of("-cp", path, mainClass),
        List.of("-cp", path),
        jar ? MAIN : mainClass);
  }

  @Override
  public List<String> command(List<String> words) {
    return command(program, words);
  }

  private static List<String> command(List<String> program, List<String> words) {
    List<String> command = new ArrayList<>();
    command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    command.addAll(OPTIONS);
    command.addAll(program);
    command.addAll(words);
    return command;
  }

  private List<String> leaking(long after) {
    List<String> all = new ArrayList<>(path);
    all.add(MemoryLeakProgram.class.getName());
    all.add(Long.toString(after / MILLI));
    all.addAll(LEAK);
    all.add(main);
    return all;
  }

  @Override
  public RunningRouter launch(LaunchOptions options) throws IOException {
    List<String> command =
        command(
            options.leaksAfterNanos() < 0 ? program : leaking(options.leaksAfterNanos()),
            List.of("serve", "--config", options.config().toString()));
    if (options.features() != null) {
      command.addAll(List.of("--features", options.features().toString()));
    }
    if (options.clockOffsetNanos() != 0) {
      command.add(1, "-D" + Clock.OFF + "=" + options.clockOffsetNanos());
    }
    ProcessBuilder builder =
        new ProcessBuilder(command)
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(options.log().toFile()));
    builder.environment().keySet().removeIf(variable -> variable.startsWith("PROXY_"));
    return new OfProcess(ChildProcesses.start(builder));
  }

  @Override
  public boolean supportsRestart() {
    return true;
  }

  private static final class OfProcess implements RunningRouter {
    private final Process process;
    private long lastCpu = -1;

    private OfProcess(Process process) {
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
    public int awaitExit(long millis) throws InterruptedException {
      if (!process.waitFor(millis, TimeUnit.MILLISECONDS)) {
        return -1;
      }
      return process.exitValue();
    }

    @Override
    public void setPaused(boolean on) {
      ChildProcesses.setPaused(process, on);
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
      lastCpu = process.info().totalCpuDuration().map(Duration::toNanos).orElse(lastCpu);
      return lastCpu;
    }
  }
}
