package beaconturn.net;

import beaconturn.core.Mailbox;
import beaconturn.core.Message;
import beaconturn.core.Settings;
import java.util.function.Consumer;
import java.util.logging.Level;
import java.util.logging.Logger;

/** The actor that reads the configuration anew when asked, and moves the router to what may change in it. */
final class Reloads {
    private static final Logger LOG = Logger.getLogger(Reloads.class.getName());
    private final RouterConfig.Source source;
    private final Discovery discovery;
    private final Consumer<Message> module;
    private Settings settings;
    /** One reading that is yet to begin covers all that ask for it. */
    private final Mailbox<Boolean> asked = new Mailbox<>(1);

    Reloads(RouterConfig.Source source, Discovery discovery, RouterConfig now, Consumer<Message> module) {
        this.source = source;
        this.discovery = discovery;
        this.settings = now.settings();
        this.module = module;
    }

    void start() {
        Threads.start("reload", this::run);
    }

    /** Never waits. */
    void ask() {
        asked.offer(true);
    }

    private void run() {
        try {
            while (asked.take()) {
                reload();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** New settings are in force at once where the wire stays the same; else they wait for a restart. */
    private void take(RouterConfig next) {
        if (!settings.sameWire(next.settings())) {
            LOG.warning("settings of classes, tenants, reports, places or connections have changed: "
                + "they need a restart, the old settings stay in force");
        } else if (!settings.equals(next.settings())) {
            settings = next.settings();
            module.accept(new Message.Switched(settings.routing(), next.seed()));
        }
    }

    /** Reads the configuration anew and takes what may change; on the thread that asks. */
    void reload() {
        try {
            RouterConfig next = source.read();
            take(next);
            discovery.move(next.discovery());
        } catch (ConfigException e) {
            LOG.warning("new configuration not taken, the old one stays in force: " + e.getMessage());
        } catch (RuntimeException | Error e) {
            LOG.log(Level.SEVERE, "reading the new configuration failed, the old one stays in force", e);
        }
    }
}
