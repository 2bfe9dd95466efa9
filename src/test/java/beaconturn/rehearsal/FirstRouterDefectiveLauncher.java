package beaconturn.rehearsal;

import beaconturn.cli.EmbeddedLauncher;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.function.Function;

/**
 * The first router is one of this process with a defect, the others are processes as they should
 * be.
 *
 * @param first makes it, by the operators' file
 */
record FirstRouterDefectiveLauncher(Function<Path, EmbeddedLauncher.Maker> first)
    implements RouterLauncher {
  private static final ProcessLauncher PROCESSES = ProcessLauncher.ofCurrentProgram("beaconturn.cli.Main");

  @Override
  public RunningRouter launch(LaunchOptions options) throws IOException {
    return options.name().equals("r1")
        ? new EmbeddedLauncher(first.apply(options.features())).launch(options)
        : PROCESSES.launch(options);
  }

  @Override
  public List<String> command(List<String> words) {
    return PROCESSES.command(words);
  }

  @Override
  public boolean supportsRestart() {
    return false;
  }
}
