package beaconturn.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.util.ArrayList;
import java.util.List;

/**
 * Parses the {@code stand-in} command. Refers only to {@link StandInRunner}, so that other commands
 * load no classes of the test kit.
 */
@Parameters(
    commandNames = "stand-in",
    commandDescription =
        "run only what stands round a router: cache servers,"
            + " an origin and discovery; lines on standard input or the control port make"
            + " them fail;"
            + " example: stand-in examples/try-out.toml, then: stall c2 for 5s")
final class StandInCommand implements Command {
  private static final int EXIT_USAGE = 2;

  @Parameter(description = "SCENARIO.toml, of which clients and faults are left out")
  private List<String> scenarios = new ArrayList<>();

  @Parameter(
      names = "--port",
      description = "where addresses begin: discovery, then the cache servers")
  private int firstPort = 8500;

  @Parameter(names = "--control", description = "the control port, on loopback; 0 takes a free one")
  private int controlPort = 8499;

  @Override
  public int execute() {
    if (scenarios.size() != 1) {
      System.err.println("stand-in: exactly one scenario is required");
      return EXIT_USAGE;
    }
    return new StandInRunner(scenarios.get(0), firstPort, controlPort).run();
  }
}
