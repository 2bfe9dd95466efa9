package beaconturn.net;

import beaconturn.core.ListNews;
import beaconturn.core.ListSource;
import beaconturn.core.Mailbox;
import beaconturn.core.Message;
import beaconturn.protocol.JsonReader;
import beaconturn.protocol.ProtocolException;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.function.Consumer;
import java.util.logging.Logger;

/** The list's actors: one that watches changes while the module wants it, one that fetches the whole list. */
final class Discovery implements ListSource {
    private static final Logger LOG = Logger.getLogger(Discovery.class.getName());
    private static final int MOST_MESSAGES = 64;
    /** Calls work through in turn, and each costs discovery much: long waits, seldom repeated. */
    private static final int WAIT_MILLIS = 20_000;
    /** Beyond the wait discovery counts as silent. */
    private static final int SLACK_MILLIS = 2_000;
    private static final int FETCH_MILLIS = 6_000;
    private static final String PATH = "/registry/instances";

    private final InetSocketAddress address;
    private final ListReader reader;
    private final Consumer<Message> module;
    private final Mailbox<Boolean> watches = new Mailbox<>(MOST_MESSAGES);
    private final Mailbox<Boolean> fetches = new Mailbox<>(MOST_MESSAGES);
    private volatile long version;

    Discovery(InetSocketAddress address, ListReader reader, long version, Consumer<Message> module) {
        this.address = address;
        this.reader = reader;
        this.version = version;
        this.module = module;
    }

    void start() {
        Threads.start("list-watch", this::watchLoop);
        Threads.start("list-fetch", this::fetchLoop);
    }

    @Override
    public void watch(boolean on) {
        if (!watches.offer(on)) {
            LOG.warning("list: more calls asked for than can wait; one left out");
        }
    }

    @Override
    public void fetch() {
        if (!fetches.offer(true)) {
            LOG.warning("list: more calls asked for than can wait; one left out");
        }
    }

    /** A watch goes on, call after call, until one fails; then the module decides when to begin anew. */
    private void watchLoop() {
        RegistryClient client = new RegistryClient(address);
        boolean on = false;
        boolean healthy = true;
        try {
            while (true) {
                Boolean asked = on ? watches.poll(0) : watches.take();
                on = asked == null ? on : asked;
                if (on) {
                    boolean told = call(client, PATH + "?after=" + version + "&wait_ms=" + WAIT_MILLIS,
                        WAIT_MILLIS + SLACK_MILLIS, healthy);
                    on = told;
                    healthy = told;
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void fetchLoop() {
        RegistryClient client = new RegistryClient(address);
        boolean healthy = true;
        try {
            while (fetches.take()) {
                healthy = call(client, PATH, FETCH_MILLIS, healthy);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** One call, whose news or failure the module is told; logs where it fails first and works again. */
    private boolean call(RegistryClient client, String path, int timeoutMillis, boolean healthy) {
        ListNews news;
        try {
            news = reader.read(JsonReader.read(client.get(path, timeoutMillis)));
        } catch (IOException | ProtocolException e) {
            if (healthy) {
                LOG.warning("list: call failed, the list at hand stays in force: " + e.getMessage());
            }
            module.accept(new Message.News(ListNews.failed()));
            return false;
        }
        if (!healthy) {
            LOG.info("list: calls succeed again, version " + news.version());
        }
        version = news.version();
        module.accept(new Message.News(news));
        return true;
    }
}
