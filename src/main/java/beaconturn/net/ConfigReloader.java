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
 * The actor that reads the configuration anew when asked, and moves the router to what may change
 * in it.
 */
final class ConfigReloader {
  private static final Logger LOG = Logger.getLogger(ConfigReloader.class.getName());
  private final RouterConfig.Source source;
  private final DiscoveryWatcher discovery;
  private final Consumer<RoutingMessage> module;
  private final Consumer<RouterSettings> inForce;
  private final RequestMetrics tally;
  private final boolean agreed;
  private RouterConfig taken;

  /** One reading that is yet to begin covers all that ask for it. */
  private final Mailbox<Boolean> asked = new Mailbox<>(1);

  /**
   * {@code inForce} hears of new settings right after the module was told; where they are {@code
   * agreed} on with other routers, no file changes them.
   */
  ConfigReloader(
      RouterConfig.Source source,
      DiscoveryWatcher discovery,
      RouterConfig now,
      Consumer<RoutingMessage> module,
      Consumer<RouterSettings> inForce,
      RequestMetrics tally,
      boolean agreed) {
    this.source = source;
    this.discovery = discovery;
    this.taken = now;
    this.module = module;
    this.inForce = inForce;
    this.tally = tally;
    this.agreed = agreed;
  }

  void start() {
    Threads.supervised("reload", this::run);
  }

  /** Never waits. */
  void ask() {
    asked.offer(true);
  }

  private void run() throws InterruptedException {
    while (asked.take()) {
      reload();
    }
  }

  /** All of a file or nothing: it is checked whole before any of it is in force. */
  private void take(RouterConfig next) throws ConfigException {
    String missing = next.lacks(taken);
    if (missing != null) {
      throw new ConfigException(
          missing + ": is missing, or of another type than in the file in force");
    }
    if (!taken.settings().sameWire(next.settings())) {
      throw new ConfigException(
          "settings: tenants, reports, places or times of connections have "
              + "changed, which needs a restart");
    }
    if (agreed && !taken.settings().equals(next.settings())) {
      throw new ConfigException(
          "settings: have changed, and are agreed on with other routers: see "
              + "'agreement propose'");
    }
    if (!taken.settings().equals(next.settings())) {
      // The module first: it must know the classes of the requests that are read under them.
      module.accept(new RoutingMessage.SettingsReplaced(next.settings().routing(), next.seed()));
      inForce.accept(next.settings());
    }
    taken = next;
  }

  /** Reads the configuration anew and takes what may change; on the thread that asks. */
  void reload() {
    try {
      RouterConfig next = source.read();
      take(next);
      discovery.move(next.discovery());
      tally.reloaded(true);
    } catch (ConfigException e) {
      tally.reloaded(false);
      LOG.warning("new configuration not taken, the old one stays in force: " + e.getMessage());
    } catch (RuntimeException | Error e) {
      tally.reloaded(false);
      LOG.log(Level.SEVERE, "reading the new configuration failed, the old one stays in force", e);
    }
  }
}
