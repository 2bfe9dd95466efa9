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
  public static ProcessLauncher of(Path jar) {
    return new ProcessLauncher(
        List.of("-jar", jar.toString()), List.of("-cp", jar.toString()), MAIN);
  }

  /** Routers from the classes that run now: the jar they are in, or the class path of a build. */
  public static ProcessLauncher own(String mainClass) {
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
  public Running launch(Start start) throws IOException {
    List<String> command =
        command(
            start.leaksAfter() < 0 ? program : leaking(start.leaksAfter()),
            List.of("serve", "--config", start.config().toString()));
    if (start.features() != null) {
      command.addAll(List.of("--features", start.features().toString()));
    }
    if (start.clockOff() != 0) {
      command.add(1, "-D" + Clock.OFFSET_PROPERTY + "=" + start.clockOff());
    }
    ProcessBuilder builder =
        new ProcessBuilder(command)
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(start.log().toFile()));
    builder.environment().keySet().removeIf(variable -> variable.startsWith("PROXY_"));
    return new OfProcess(ChildProcesses.start(builder));
  }

  @Override
  public boolean restarts() {
    return true;
  }

  private static final class OfProcess implements Running {
    private final Process process;
    private long lastCpu = -1;

    private OfProcess(Process process) {
      this.process = process;
    }

    @Override
    public boolean alive() {
      return process.isAlive();
    }

    @Override
    public void kill() {
      cpu();
      process.destroyForcibly();
    }

    @Override
    public void terminate() {
      cpu();
      process.destroy();
    }

    @Override
    public int awaitEnd(long millis) throws InterruptedException {
      if (!process.waitFor(millis, TimeUnit.MILLISECONDS)) {
        return -1;
      }
      return process.exitValue();
    }

    @Override
    public void pause(boolean on) {
      ChildProcesses.pause(process, on);
    }

    @Override
    public void hangUp() {
      ChildProcesses.hangUp(process);
    }

    @Override
    public long pid() {
      return process.pid();
    }

    @Override
    public long cpu() {
      lastCpu = process.info().totalCpuDuration().map(Duration::toNanos).orElse(lastCpu);
      return lastCpu;
    }
  }
}
