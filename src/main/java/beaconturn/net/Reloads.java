package beaconturn.net;

import beaconturn.core.Mailbox;
import java.util.logging.Level;
import java.util.logging.Logger;

/** The actor that reads the configuration anew when asked, and moves the router to what may change in it. */
final class Reloads {
    private static final Logger LOG = Logger.getLogger(Reloads.class.getName());
    private final RouterConfig.Source source;
    private final Discovery discovery;
    /** One reading that is yet to begin covers all that ask for it. */
    private final Mailbox<Boolean> asked = new Mailbox<>(1);

    Reloads(RouterConfig.Source source, Discovery discovery) {
        this.source = source;
        this.discovery = discovery;
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

    private void reload() {
        try {
            discovery.move(source.read().discovery());
        } catch (ConfigException e) {
            LOG.warning("new configuration not taken, the old one stays in force: " + e.getMessage());
        } catch (RuntimeException | Error e) {
            LOG.log(Level.SEVERE, "reading the new configuration failed, the old one stays in force", e);
        }
    }
}
