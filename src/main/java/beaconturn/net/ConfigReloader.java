package beaconturn.net;

import beaconturn.core.Mailbox;
import beaconturn.core.RouterSettings;
import beaconturn.core.RoutingMessage;
import beaconturn.net.discovery.DiscoveryWatcher;
import beaconturn.net.io.Threads;
import beaconturn.stats.RequestMetrics;
import java.util.function.Consumer;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * Reloads the configuration on request and activates those parts that can change in a running
 * router: the settings, unless routers agree on them, and the address of discovery.
 */
final class ConfigReloader {
  private static final Logger LOG = Logger.getLogger(ConfigReloader.class.getName());

  private final RouterInputs inputs;
  private final DiscoveryWatcher discovery;
  private final Consumer<RoutingMessage> routingThread;
  private final Consumer<RouterSettings> activate;
  private final RequestMetrics metrics;

  /** The active configuration; reloading thread only. */
  private RouterConfig activeConfig;

  /** Holds at most one request: a reload that has not started also covers later requests. */
  private final Mailbox<Boolean> requests = new Mailbox<>(1);

  /**
   * Creates a reloader; {@code activate} receives new settings after the routing thread has
   * received them.
   */
  ConfigReloader(
      RouterInputs inputs,
      DiscoveryWatcher discovery,
      Consumer<RoutingMessage> routingThread,
      Consumer<RouterSettings> activate,
      RequestMetrics metrics) {
    this.inputs = inputs;
    this.activeConfig = inputs.config();
    this.discovery = discovery;
    this.routingThread = routingThread;
    this.activate = activate;
    this.metrics = metrics;
  }

  void start() {
    Threads.supervised("reload", this::run);
  }

  /** Requests a reload without waiting. For any thread. */
  void requestReload() {
    requests.offer(true);
  }

  private void run() throws InterruptedException {
    while (requests.take()) {
      reload();
    }
  }

  /** Reads and applies the configuration. Reloading thread only. */
  void reload() {
    try {
      RouterConfig next = inputs.source().read();
      apply(next);
      discovery.move(next.discoveryAddress());
      metrics.configReloaded(true);
    } catch (ConfigException e) {
      metrics.configReloaded(false);
      LOG.warning("new configuration rejected, the previous one stays active: " + e.getMessage());
    } catch (RuntimeException | Error e) {
      metrics.configReloaded(false);
      LOG.log(Level.SEVERE, "reloading the configuration failed, the previous one stays active", e);
    }
  }

  /** Applies a configuration completely: all of it is checked before any of it becomes active. */
  private void apply(RouterConfig next) throws ConfigException {
    check(next);
    if (!activeConfig.settings().equals(next.settings())) {
      // The routing thread first: it must know the classes of requests that are parsed under the
      // new settings.
      routingThread.accept(
          new RoutingMessage.SettingsReplaced(next.settings().routing(), next.seed()));
      activate.accept(next.settings());
    }
    activeConfig = next;
  }

  private void check(RouterConfig next) throws ConfigException {
    String missing = next.firstMissingKey(activeConfig);
    if (missing != null) {
      throw new ConfigException(
          missing + ": is missing, or of another type than in the active configuration");
    }
    if (!activeConfig.settings().isWireCompatibleWith(next.settings())) {
      throw new ConfigException(
          "settings: tenants, load reports, zones or connection timeouts have "
              + "changed, which needs a restart");
    }
    if (inputs.hasFleetConfig() && !activeConfig.settings().equals(next.settings())) {
      throw new ConfigException(
          "settings: have changed, but are agreed on with other routers; use "
              + "'agreement propose'");
    }
  }
}
