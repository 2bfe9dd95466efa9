package beaconturn.cli;

import beaconturn.core.Clock;
import beaconturn.rehearsal.FaultCommands;
import beaconturn.rehearsal.Scenario;
import beaconturn.rehearsal.ScenarioReader;
import beaconturn.standin.EmulatedFleet;
import beaconturn.standin.EventScheduler;
import beaconturn.standin.HistoryRecorder;
import beaconturn.standin.RandomSources;
import beaconturn.standin.net.EmulatedFleetServer;
import beaconturn.toml.TomlException;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.BindException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;

/**
 * Runs stand-ins of cache servers, an origin and discovery for one router, until the process is
 * stopped or reads {@code quit} from standard input.
 *
 * @param scenarioFile the scenario that describes the stand-ins
 * @param firstPort port of discovery; the cache servers use the ports that follow
 * @param controlPort port that accepts fault commands; 0 takes a free one
 */
record StandInRunner(String scenarioFile, int firstPort, int controlPort) {
  private static final int EXIT_ERROR = 1;

  int run() {
    try {
      Scenario scenario =
          ScenarioReader.read(scenarioFile, Files.readString(Path.of(scenarioFile)), null);
      Clock clock = Clock.system();
      EmulatedFleet fleet =
          new EmulatedFleet(
              new EventScheduler(clock.now()),
              scenario.emulatedFleetSpec(),
              new RandomSources(scenario.seed()),
              HistoryRecorder.NONE);
      FaultCommands faultCommands = new FaultCommands(fleet);
      try (EmulatedFleetServer fleetServer =
          new EmulatedFleetServer(fleet, clock::now, 1, firstPort)) {
        InetSocketAddress controlAddress =
            fleetServer.openControlPort(controlPort, faultCommands::run);
        fleetServer.start();
        System.out.println(
            "discovery at 127.0.0.1:"
                + fleetServer.discoveryAddress(0).getPort()
                + ", "
                + fleet.serverCount()
                + " cache servers from 127.0.0.1:"
                + fleetServer.serverAddress(0, 0).getPort()
                + " on, control at 127.0.0.1:"
                + controlAddress.getPort()
                + "; say help");
        executeCommands(fleetServer, faultCommands);
      }
      return 0;
    } catch (BindException e) {
      System.err.println(
          "stand-in: an address from 127.0.0.1:"
              + firstPort
              + " on, or the control port "
              + controlPort
              + ", is in use; choose others with --port and --control");
    } catch (IOException e) {
      System.err.println("stand-in: " + e.getClass().getSimpleName() + ": " + e.getMessage());
    } catch (TomlException e) {
      System.err.println(e.getMessage());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    return EXIT_ERROR;
  }

  /**
   * Executes fault commands until {@code quit}; the end of the input does not stop the stand-ins.
   */
  private static void executeCommands(EmulatedFleetServer fleetServer, FaultCommands faultCommands)
      throws IOException, InterruptedException {
    BufferedReader in =
        new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8));
    for (String line = in.readLine(); line != null; line = in.readLine()) {
      if (line.trim().equals("quit")) {
        return;
      }
      String command = line;
      System.out.println(fleetServer.call(() -> faultCommands.run(command)));
    }
    new CountDownLatch(1).await();
  }
}
