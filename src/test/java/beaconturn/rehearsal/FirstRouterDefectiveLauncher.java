package beaconturn.rehearsal;

import beaconturn.cli.EmbeddedLauncher;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.function.Function;

/**
 * Starts router r1 with a defect inside this process, and all others as correct processes.
 *
 * @param defectiveMaker returns what makes the defective router, given its features file
 */
record FirstRouterDefectiveLauncher(Function<Path, EmbeddedLauncher.RouterFactory> defectiveMaker)
    implements RouterLauncher {
  private static final ProcessLauncher PROCESS_LAUNCHER =
      ProcessLauncher.ofCurrentProgram("beaconturn.cli.Main");

  @Override
  public RunningRouter launch(LaunchOptions options) throws IOException {
    return options.name().equals("r1")
        ? new EmbeddedLauncher(defectiveMaker.apply(options.features())).launch(options)
        : PROCESS_LAUNCHER.launch(options);
  }

  @Override
  public List<String> command(List<String> arguments) {
    return PROCESS_LAUNCHER.command(arguments);
  }

  @Override
  public boolean supportsRestart() {
    return false;
  }
}
