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

/** Runs the surroundings of one router until the process is stopped, or told to quit. */
record StandInRunner(String file, int port, int control) {
  private static final int WRONG_INPUT = 1;

  int run() {
    try {
      Scenario scenario = ScenarioReader.read(file, Files.readString(Path.of(file)), null);
      Clock clock = Clock.system();
      EmulatedFleet world =
          new EmulatedFleet(
              new EventScheduler(clock.now()),
              scenario.emulatedFleetSpec(),
              new RandomSources(scenario.seed()),
              HistoryRecorder.NONE);
      FaultCommands orders = new FaultCommands(world);
      try (EmulatedFleetServer surroundings = new EmulatedFleetServer(world, clock::now, 1, port)) {
        InetSocketAddress told = surroundings.openControlPort(control, orders::run);
        surroundings.start();
        System.out.println(
            "discovery at 127.0.0.1:"
                + surroundings.discoveryAddress(0).getPort()
                + ", "
                + world.serverCount()
                + " cache servers from 127.0.0.1:"
                + surroundings.serverAddress(0, 0).getPort()
                + " on, control at 127.0.0.1:"
                + told.getPort()
                + "; say help");
        listen(surroundings, orders);
      }
      return 0;
    } catch (BindException e) {
      System.err.println(
          "stand-in: an address from 127.0.0.1:"
              + port
              + " on, or the control port "
              + control
              + ", is in use; choose others with --port and --control");
    } catch (IOException e) {
      System.err.println("stand-in: " + e.getClass().getSimpleName() + ": " + e.getMessage());
    } catch (TomlException e) {
      System.err.println(e.getMessage());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    return WRONG_INPUT;
  }

  /** Until a line says quit; an input that ends, as that of a service does, ends nothing. */
  private static void listen(EmulatedFleetServer surroundings, FaultCommands orders)
      throws IOException, InterruptedException {
    BufferedReader in =
        new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8));
    for (String line = in.readLine(); line != null; line = in.readLine()) {
      if (line.trim().equals("quit")) {
        return;
      }
      String order = line;
      System.out.println(surroundings.call(() -> orders.run(order)));
    }
    new CountDownLatch(1).await();
  }
}
