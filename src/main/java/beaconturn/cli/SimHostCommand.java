package beaconturn.cli;

import beaconturn.sim.SimulatorHost;
import beaconturn.sim.SimulatorProtocolException;
import com.beust.jcommander.Parameters;
import java.io.IOException;

/** Hosts routing policies for the simulator, over standard input and output. */
@Parameters(
    commandNames = "simhost",
    commandDescription =
        "host decision modules on the simulator's wire (standard input and output)")
final class SimHostCommand implements Command {
  @Override
  public int execute() {
    try {
      new SimulatorHost(System.in, System.out).run();
      return 0;
    } catch (SimulatorProtocolException | IOException e) {
      System.err.println("simhost: " + e.getMessage());
      return 1;
    }
  }
}
