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
 * The actor that reads the configuration anew when asked, and brings what may change in a running
 * router into force: settings, unless routers agree on them, and discovery's address.
 */
final class ConfigReloader {
  private static final Logger LOG = Logger.getLogger(ConfigReloader.class.getName());

  private final RouterInputs inputs;
  private final DiscoveryWatcher discovery;
  private final Consumer<RoutingMessage> routingThread;
  private final Consumer<RouterSettings> activate;
  private final RequestMetrics metrics;

  /** The configuration in force; for the reloading thread alone. */
  private RouterConfig inForce;

  /** Holds one request: a reading that is yet to begin covers all that ask for it. */
  private final Mailbox<Boolean> requests = new Mailbox<>(1);

  /** {@code activate} gets new settings right after the routing thread. */
  ConfigReloader(
      RouterInputs inputs,
      DiscoveryWatcher discovery,
      Consumer<RoutingMessage> routingThread,
      Consumer<RouterSettings> activate,
      RequestMetrics metrics) {
    this.inputs = inputs;
    this.inForce = inputs.config();
    this.discovery = discovery;
    this.routingThread = routingThread;
    this.activate = activate;
    this.metrics = metrics;
  }

  /** Starts the reloading thread. */
  void start() {
    Threads.supervised("reload", this::run);
  }

  /** Asks for a reload without waiting; any thread. */
  void requestReload() {
    requests.offer(true);
  }

  private void run() throws InterruptedException {
    while (requests.take()) {
      reload();
    }
  }

  /** Reads the configuration anew and applies it; on the reloading thread. */
  void reload() {
    try {
      RouterConfig next = inputs.source().read();
      apply(next);
      discovery.move(next.discoveryAddress());
      metrics.configReloaded(true);
    } catch (ConfigException e) {
      metrics.configReloaded(false);
      LOG.warning("new configuration not taken, the old one stays in force: " + e.getMessage());
    } catch (RuntimeException | Error e) {
      metrics.configReloaded(false);
      LOG.log(Level.SEVERE, "reading the new configuration failed, the old one stays in force", e);
    }
  }

  /** All of a configuration or nothing: it is checked whole before any of it is in force. */
  private void apply(RouterConfig next) throws ConfigException {
    check(next);
    if (!inForce.settings().equals(next.settings())) {
      // The routing thread first: it must know the classes of the requests that are read next.
      routingThread.accept(
          new RoutingMessage.SettingsReplaced(next.settings().routing(), next.seed()));
      activate.accept(next.settings());
    }
    inForce = next;
  }

  private void check(RouterConfig next) throws ConfigException {
    String missing = next.lacks(inForce);
    if (missing != null) {
      throw new ConfigException(
          missing + ": is missing, or of another type than in the file in force");
    }
    if (!inForce.settings().isWireCompatibleWith(next.settings())) {
      throw new ConfigException(
          "settings: tenants, reports, places or times of connections have "
              + "changed, which needs a restart");
    }
    if (inputs.hasFleetConfig() && !inForce.settings().equals(next.settings())) {
      throw new ConfigException(
          "settings: have changed, and are agreed on with other routers: see "
              + "'agreement propose'");
    }
  }
}
