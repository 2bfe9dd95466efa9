package beaconturn.cli;

import beaconturn.core.Lifecycle;
import beaconturn.net.ConfigException;
import beaconturn.net.RouterConfig;
import beaconturn.net.RouterConfigReader;
import beaconturn.net.RouterServer;
import beaconturn.rehearsal.RouterLauncher;
import java.io.IOException;
import java.util.Map;

/**
 * Runs routers inside this process: quick to start and easy to debug, but they cannot be killed.
 */
public final class EmbeddedLauncher implements RouterLauncher {
  private final RouterFactory routerFactory;

  /** How a router is made of its configuration; it is not started yet. */
  public interface RouterFactory {
    /** A router that listens already. */
    RouterServer create(RouterConfig config) throws IOException;
  }

  /** The usual routers. */
  EmbeddedLauncher() {
    this(config -> new RouterServer(config, () -> config, new Lifecycle()));
  }

  /** Routers that are made otherwise, as tests need them. */
  public EmbeddedLauncher(RouterFactory routerFactory) {
    this.routerFactory = routerFactory;
  }

  @Override
  public boolean supportsRestart() {
    return false;
  }

  @Override
  public RunningRouter launch(LaunchOptions options) throws IOException {
    try {
      RouterServer server = routerFactory.create(RouterConfigReader.read(options.config(), Map.of()));
      server.start();
      return new Embedded(server);
    } catch (ConfigException e) {
      throw new IOException(e.getMessage(), e);
    }
  }

  private static final class Embedded implements RunningRouter {
    private final RouterServer server;
    private Thread drain;

    private Embedded(RouterServer server) {
      this.server = server;
    }

    @Override
    public boolean isAlive() {
      return drain == null || drain.isAlive();
    }

    @Override
    public void kill() {
      terminate();
    }

    @Override
    public void terminate() {
      if (drain == null) {
        drain = new Thread(this::drain, "drain");
        drain.setDaemon(true);
        drain.start();
      }
    }

    private void drain() {
      try {
        server.drain();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }

    @Override
    public int awaitExit(long millis) throws InterruptedException {
      terminate();
      drain.join(Math.max(1, millis));
      return drain.isAlive() ? -1 : 0;
    }

    @Override
    public long cpuNanos() {
      return -1;
    }
  }
}
