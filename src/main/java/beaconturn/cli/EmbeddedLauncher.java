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
 * Launches routers inside this process: quick to start and easy to debug, but without restarts, and
 * a kill is only a graceful shutdown.
 */
public final class EmbeddedLauncher implements RouterLauncher {
  private final RouterFactory routerFactory;

  /** Creates a router from its configuration. */
  public interface RouterFactory {
    /** Creates a router whose socket listens already, but which is not started. */
    RouterServer create(RouterConfig config) throws IOException;
  }

  /** Creates a launcher of ordinary routers. */
  EmbeddedLauncher() {
    this(config -> new RouterServer(config, () -> config, new Lifecycle()));
  }

  /** Creates a launcher of routers from a factory, for tests that need altered routers. */
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
      RouterServer server =
          routerFactory.create(RouterConfigReader.read(options.config(), Map.of()));
      server.start();
      return new EmbeddedRouter(server);
    } catch (ConfigException e) {
      throw new IOException(e.getMessage(), e);
    }
  }

  private static final class EmbeddedRouter implements RunningRouter {
    private final RouterServer server;
    private Thread drain;

    private EmbeddedRouter(RouterServer server) {
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
    public int awaitExit(long timeoutMillis) throws InterruptedException {
      terminate();
      drain.join(Math.max(1, timeoutMillis));
      return drain.isAlive() ? -1 : 0;
    }

    @Override
    public long cpuNanos() {
      return -1;
    }
  }
}
