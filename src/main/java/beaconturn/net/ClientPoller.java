package beaconturn.net;

import java.io.IOException;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * The one thread that reads from all clients, as their bytes come. Most clients' connections are idle at any
 * time: a blocked thread for each is memory, and work each time that a limit on the processor stops and
 * continues the router, whether the client speaks or not.
 */
final class ClientPoller {
    private static final Logger LOG = Logger.getLogger(ClientPoller.class.getName());
    private final Selector selector;
    private final Queue<ClientConnection> called = new ConcurrentLinkedQueue<>();
    private final Queue<ClientConnection> closed = new ConcurrentLinkedQueue<>();

    ClientPoller() throws IOException {
        this.selector = Selector.open();
    }

    void start() {
        Threads.start("clients", this::run);
    }

    /** Has the connection look, on the poller's thread, at what there is to do; never waits. */
    void call(ClientConnection connection) {
        called.add(connection);
        selector.wakeup();
    }

    /** Tells the connection, just closed, when its descriptor is free: once the selector has gone round. */
    void closed(ClientConnection connection) {
        closed.add(connection);
        selector.wakeup();
    }

    private void run() {
        List<ClientConnection> freed = new ArrayList<>();
        while (true) {
            try {
                for (ClientConnection c = closed.poll(); c != null; c = closed.poll()) {
                    freed.add(c);
                }
                selector.select(ClientPoller::ready);
                freed.forEach(ClientConnection::freed);
                freed.clear();
                for (ClientConnection c = called.poll(); c != null; c = called.poll()) {
                    c.proceed(selector);
                }
            } catch (IOException | RuntimeException | Error e) {
                LOG.log(Level.SEVERE, "reading from clients failed and goes on", e);
            }
        }
    }

    private static void ready(SelectionKey key) {
        ((ClientConnection) key.attachment()).ready(key);
    }
}
