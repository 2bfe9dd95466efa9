package beaconturn.net.client;

import beaconturn.core.RepeatedEventLog;
import beaconturn.net.io.Sockets;
import beaconturn.net.io.Threads;
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
 * Accepts client connections until closed. An inherited socket is shared with other processes: this
 * process never closes it, only stops accepting, and leaves its queue to the others. The socket is
 * always non-blocking: blocking mode is a property of the socket itself, and another process may
 * accept the connection that woke this one.
 */
public final class Listener {
  private static final Logger LOG = Logger.getLogger(Listener.class.getName());
  private static final int BACKLOG = 1024;
  private static final long FAILURE_PAUSE_MILLIS = 10;
  private static final long CLOSE_TIMEOUT_MILLIS = 1_000;
  private static final int MAX_FINAL_ATTEMPTS = 20;

  private final ServerSocketChannel server;
  private final boolean shared;
  private final Selector selector;
  private final Consumer<SocketChannel> onAccepted;
  private final RepeatedEventLog failures =
      new RepeatedEventLog(LOG, "accepting client connections fails", 1);
  private volatile boolean closed;

  /** Null until started. */
  private Thread acceptingThread;

  private Listener(ServerSocketChannel server, boolean shared, Consumer<SocketChannel> onAccepted)
      throws IOException {
    this.onAccepted = onAccepted;
    this.server = server;
    this.shared = shared;
    this.selector = Selector.open();
    server.configureBlocking(false);
    server.register(selector, SelectionKey.OP_ACCEPT);
  }

  /** Binds the address; connections wait in the kernel until {@link #start}. */
  public static Listener bind(InetSocketAddress address, Consumer<SocketChannel> onAccepted)
      throws IOException {
    ServerSocketChannel server = ServerSocketChannel.open();
    server.setOption(StandardSocketOptions.SO_REUSEADDR, true);
    server.bind(address, BACKLOG);
    return new Listener(server, false, onAccepted);
  }

  /** Accepts on the listening socket inherited as descriptor 0. */
  public static Listener inherited(Consumer<SocketChannel> onAccepted) throws IOException {
    Channel channel = System.inheritedChannel();
    if (!(channel instanceof ServerSocketChannel server)) {
      throw new IOException("descriptor 0 is not a listening socket");
    }
    return sharing(server, onAccepted);
  }

  /** Accepts on a listening socket that other processes hold too. */
  public static Listener sharing(ServerSocketChannel socket, Consumer<SocketChannel> onAccepted)
      throws IOException {
    return new Listener(socket, true, onAccepted);
  }

  /** The local address of the listening socket. */
  public InetSocketAddress address() {
    return (InetSocketAddress) server.socket().getLocalSocketAddress();
  }

  /** Starts accepting. */
  public void start() {
    acceptingThread = Threads.supervised("listener", this::acceptUntilClosed);
  }

  /**
   * Stops accepting, after the connections that the kernel has already accepted on an unshared
   * socket: their clients may have sent requests. Blocks for at most a second.
   */
  public void close() throws InterruptedException {
    closed = true;
    selector.wakeup();
    if (acceptingThread != null) {
      acceptingThread.join(CLOSE_TIMEOUT_MILLIS);
    }
    if (!shared) {
      Sockets.close(server);
    }
  }

  private void acceptUntilClosed() throws InterruptedException {
    while (!closed) {
      try {
        selector.select();
        selector.selectedKeys().clear();
        acceptAll();
      } catch (IOException | RuntimeException | Error e) {
        // Out of descriptors, or the client disconnected while queued: the next accept may succeed.
        failures.note(System.nanoTime(), e.toString());
        Thread.sleep(FAILURE_PAUSE_MILLIS);
      }
    }
    acceptRemaining();
    // The descriptor of a closed channel is freed only when the selector is closed.
    Sockets.close(selector);
  }

  private void acceptAll() throws IOException {
    for (SocketChannel client = nextClient(); client != null; client = nextClient()) {
      configureAndDeliver(client);
    }
  }

  /**
   * Accepts the next connection, or returns null. The queue of a shared socket is left to the other
   * process once this listener is closed.
   */
  private SocketChannel nextClient() throws IOException {
    return closed && shared ? null : server.accept();
  }

  private void acceptRemaining() throws InterruptedException {
    boolean done = false;
    for (int attempt = 0; !done && attempt < MAX_FINAL_ATTEMPTS; attempt++) {
      try {
        acceptAll();
        done = true;
      } catch (IOException | RuntimeException | Error e) {
        LOG.log(
            Level.WARNING, "accepting a queued connection failed while closing the listener: " + e);
        Thread.sleep(FAILURE_PAUSE_MILLIS);
      }
    }
  }

  /**
   * Configures a connection and passes it to the callback. Closes the channel on a failure, as its
   * descriptor would leak.
   */
  private void configureAndDeliver(SocketChannel client) throws IOException {
    try {
      client.setOption(StandardSocketOptions.TCP_NODELAY, true);
      client.configureBlocking(false);
      onAccepted.accept(client);
    } catch (IOException | RuntimeException | Error e) {
      Sockets.close(client);
      throw e;
    }
  }
}
