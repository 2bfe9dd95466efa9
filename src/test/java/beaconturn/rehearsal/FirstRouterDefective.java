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
record FirstRouterDefective(Function<Path, EmbeddedLauncher.Maker> first)
    implements RouterLauncher {
  private static final ProcessLauncher PROCESSES = ProcessLauncher.own("beaconturn.cli.Main");

  @Override
  public Running launch(Start start) throws IOException {
    return start.name().equals("r1")
        ? new EmbeddedLauncher(first.apply(start.features())).launch(start)
        : PROCESSES.launch(start);
  }

  @Override
  public List<String> command(List<String> words) {
    return PROCESSES.command(words);
  }

  @Override
  public boolean restarts() {
    return false;
  }
}
