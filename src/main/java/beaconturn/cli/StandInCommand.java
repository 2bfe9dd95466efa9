package beaconturn.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.util.ArrayList;
import java.util.List;

/** The options of the surroundings alone; it names no class of the kit but the one that runs it. */
@Parameters(
    commandNames = "stand-in",
    commandDescription =
        "run only what stands round a router: cache servers,"
            + " an origin and discovery; lines on standard input or the control port make"
            + " them fail;"
            + " example: stand-in examples/try-out.toml, then: stall c2 for 5s")
final class StandInCommand implements Command {
  @Parameter(description = "SCENARIO.toml, of which clients and faults are left out")
  private List<String> scenarios = new ArrayList<>();

  @Parameter(
      names = "--port",
      description = "where addresses begin: discovery, then the cache servers")
  private int port = 8500;

  @Parameter(names = "--control", description = "the control port, on loopback; 0 takes a free one")
  private int control = 8499;

  @Override
  public int execute() {
    if (scenarios.size() != 1) {
      System.err.println("stand-in: name one scenario");
      return 2;
    }
    return new StandInRunner(scenarios.get(0), port, control).run();
  }
}
