package beaconturn.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.Channel;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.function.Consumer;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * Accepts connections of clients until it is closed. A socket that was inherited belongs to other processes
 * too: it is never closed, only accepted from no more, and what waits in its queue is theirs. It never
 * blocks, as blocking is a property of the socket itself, and the other process may take what woke this
 * one.
 */
final class Listener {
    private static final Logger LOG = Logger.getLogger(Listener.class.getName());
    private static final int BACKLOG = 1024;
    private static final long PAUSE_MILLIS = 10;

    private final ServerSocketChannel server;
    private final boolean inherited;
    private final Selector selector;
    private final Consumer<SocketChannel> accepted;
    private volatile boolean closed;

    private Listener(ServerSocketChannel server, boolean inherited, Consumer<SocketChannel> accepted)
            throws IOException {
        this.accepted = accepted;
        this.server = server;
        this.inherited = inherited;
        this.selector = Selector.open();
        server.configureBlocking(false);
        server.register(selector, SelectionKey.OP_ACCEPT);
    }

    /** Binds the address; connections wait in the kernel until {@link #start}. */
    static Listener bound(InetSocketAddress address, Consumer<SocketChannel> accepted) throws IOException {
        ServerSocketChannel server = ServerSocketChannel.open();
        server.setOption(StandardSocketOptions.SO_REUSEADDR, true);
        server.bind(address, BACKLOG);
        return new Listener(server, false, accepted);
    }

    /** Accepts on the listening socket that came as descriptor 0. */
    static Listener inherited(Consumer<SocketChannel> accepted) throws IOException {
        Channel channel = System.inheritedChannel();
        if (!(channel instanceof ServerSocketChannel server)) {
            throw new IOException("descriptor 0 is no listening socket");
        }
        return on(server, accepted);
    }

    /** Accepts on a listening socket that others hold too. */
    static Listener on(ServerSocketChannel shared, Consumer<SocketChannel> accepted) throws IOException {
        return new Listener(shared, true, accepted);
    }

    InetSocketAddress address() {
        return (InetSocketAddress) server.socket().getLocalSocketAddress();
    }

    void start() {
        Threads.start("listener", this::accept);
    }

    /** Accepts nothing more. */
    void close() {
        closed = true;
        selector.wakeup();
        if (!inherited) {
            Sockets.close(server);
        }
    }

    private void accept() {
        while (!closed) {
            try {
                selector.select();
                selector.selectedKeys().clear();
                for (SocketChannel client = next(); client != null; client = next()) {
                    take(client);
                }
            } catch (IOException | RuntimeException | Error e) {
                // Out of descriptors, or a client gone while it waited: the next one may do better.
                if (!closed) {
                    LOG.log(Level.WARNING, "accept failed: " + e);
                    pause();
                }
            }
        }
        // A closed channel's descriptor is freed when the selector lets go of it.
        Sockets.close(selector);
    }

    /** What fails here is closed: a channel that nobody knows keeps its descriptor for good. */
    private void take(SocketChannel client) throws IOException {
        try {
            client.setOption(StandardSocketOptions.TCP_NODELAY, true);
            client.configureBlocking(false);
            accepted.accept(client);
        } catch (IOException | RuntimeException | Error e) {
            Sockets.close(client);
            throw e;
        }
    }

    private SocketChannel next() throws IOException {
        return closed ? null : server.accept();
    }

    private static void pause() {
        try {
            Thread.sleep(PAUSE_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
