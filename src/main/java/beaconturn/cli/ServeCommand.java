package beaconturn.cli;

import beaconturn.core.Clock;
import beaconturn.core.Lifecycle;
import beaconturn.net.ConfigException;
import beaconturn.net.RouterConfig;
import beaconturn.net.RouterServer;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import java.io.IOException;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;
import java.util.logging.Logger;

/** Runs one real router until it is told to stop. */
@Parameters(commandNames = "serve", commandDescription = "run one router on sockets")
final class ServeCommand implements Command {
  private static final long MILLI = 1_000_000;
  @ParametersDelegate private final ConfigFileOption config = new ConfigFileOption();

  @Parameter(
      names = "--features",
      description = "the operators' file of what else is on; none: nothing")
  private String features;

  @Override
  public int execute() {
    Logging.start();
    // Before all else: a SIGHUP that nobody handles would end the process.
    AtomicBoolean asked = new AtomicBoolean();
    AtomicReference<RouterServer> serving = new AtomicReference<>();
    HangUpSignal.handle(
        () -> {
          asked.set(true);
          reload(serving.get());
        });
    Lifecycle lifecycle = new Lifecycle();
    if (Long.getLong(Clock.OFF, 0) != 0) {
      Logger.getLogger(ServeCommand.class.getName())
          .warning(
              "the wall clock is "
                  + Long.getLong(Clock.OFF) / MILLI
                  + " ms off, as a rehearsal has it");
    }
    try {
      RouterConfig read = config.read();
      RouterServer server =
          new RouterServer(
              read,
              config::readAnew,
              lifecycle,
              features == null ? null : FeaturesFile.agreed(features, read),
              features == null ? null : FeaturesFile.placing(features, read));
      Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(server), "drain"));
      serving.set(server);
      if (asked.get()) {
        reload(server);
      }
      server.start();
      lifecycle.await(Lifecycle.Phase.STOPPED);
      return 0;
    } catch (ConfigException | IOException e) {
      System.err.println("serve: " + e.getMessage());
      return 1;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return 1;
    }
  }

  /** What is asked for before there is a router is caught up with once there is one. */
  private static void reload(RouterServer server) {
    if (server != null) {
      server.reload();
    }
  }

  private static void stop(RouterServer server) {
    try {
      server.drain();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } finally {
      Logging.finish();
      // Ends the JVM here: after a signal it would report one, though the stop went as planned.
      Runtime.getRuntime().halt(0);
    }
  }
}
