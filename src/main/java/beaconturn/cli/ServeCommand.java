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

/** Runs a router until the process is asked to terminate. */
@Parameters(commandNames = "serve", commandDescription = "run one router on sockets")
final class ServeCommand implements Command {
  private static final long NANOS_PER_MILLI = 1_000_000;
  @ParametersDelegate private final ConfigFileOption config = new ConfigFileOption();

  @Parameter(
      names = "--features",
      description = "the operators' file of what else is on; none: nothing")
  private String featuresFile;

  @Override
  public int execute() {
    Logging.start();
    // The handler is installed first, as an unhandled SIGHUP would terminate the process.
    AtomicBoolean reloadRequested = new AtomicBoolean();
    AtomicReference<RouterServer> createdServer = new AtomicReference<>();
    HangUpSignal.handle(
        () -> {
          reloadRequested.set(true);
          reloadIfCreated(createdServer.get());
        });
    Lifecycle lifecycle = new Lifecycle();
    if (Long.getLong(Clock.OFFSET_PROPERTY, 0) != 0) {
      Logger.getLogger(ServeCommand.class.getName())
          .warning(
              "the wall clock is shifted by "
                  + Long.getLong(Clock.OFFSET_PROPERTY) / NANOS_PER_MILLI
                  + " ms, for a rehearsal");
    }
    try {
      RouterConfig routerConfig = config.read();
      RouterServer server =
          new RouterServer(
              routerConfig,
              config::reread,
              lifecycle,
              featuresFile == null ? null : FeaturesFile.configSource(featuresFile, routerConfig),
              featuresFile == null
                  ? null
                  : FeaturesFile.zoneWeightsSource(featuresFile, routerConfig));
      Runtime.getRuntime().addShutdownHook(new Thread(() -> drainAndHalt(server), "drain"));
      createdServer.set(server);
      if (reloadRequested.get()) {
        reloadIfCreated(server);
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

  /** Reloads the configuration; does nothing while the router is not created yet. */
  private static void reloadIfCreated(RouterServer server) {
    if (server != null) {
      server.reload();
    }
  }

  private static void drainAndHalt(RouterServer server) {
    try {
      server.drain();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } finally {
      Logging.finish();
      // Otherwise the exit status would be that of the signal, although the shutdown succeeded.
      Runtime.getRuntime().halt(0);
    }
  }
}
