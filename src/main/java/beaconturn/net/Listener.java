package beaconturn.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.function.Consumer;
import java.util.logging.Level;
import java.util.logging.Logger;

/** Accepts connections of clients on one address until it is closed. */
final class Listener {
    private static final Logger LOG = Logger.getLogger(Listener.class.getName());
    private static final int BACKLOG = 1024;
    private static final long PAUSE_MILLIS = 10;

    private final ServerSocketChannel server;
    private final Consumer<SocketChannel> accepted;
    private volatile boolean closed;

    /** Binds the address; connections wait in the kernel until {@link #start}. */
    Listener(InetSocketAddress address, Consumer<SocketChannel> accepted) throws IOException {
        this.accepted = accepted;
        this.server = ServerSocketChannel.open();
        server.setOption(StandardSocketOptions.SO_REUSEADDR, true);
        server.bind(address, BACKLOG);
    }

    InetSocketAddress address() {
        return (InetSocketAddress) server.socket().getLocalSocketAddress();
    }

    void start() {
        Threads.start("listener", this::accept);
    }

    void close() {
        closed = true;
        Sockets.close(server);
    }

    private void accept() {
        while (!closed) {
            try {
                SocketChannel client = server.accept();
                client.setOption(StandardSocketOptions.TCP_NODELAY, true);
                client.configureBlocking(false);
                accepted.accept(client);
            } catch (IOException | RuntimeException | Error e) {
                // Out of descriptors, or a client gone while it waited: the next one may do better.
                if (!closed) {
                    LOG.log(Level.WARNING, "accept failed: " + e);
                    pause();
                }
            }
        }
    }

    private static void pause() {
        try {
            Thread.sleep(PAUSE_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
