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
 * Accepts connections of clients until it is closed. A socket that was inherited belongs to other
 * processes too: it is never closed, only accepted from no more, and what waits in its queue is
 * theirs. It never blocks, as blocking is a property of the socket itself, and the other process
 * may take what woke this one.
 */
public final class Listener {
  private static final Logger LOG = Logger.getLogger(Listener.class.getName());
  private static final int BACKLOG = 1024;
  private static final long FAILURE_PAUSE_MILLIS = 10;
  private static final long MAX_CLOSE_MILLIS = 1_000;
  private static final int MAX_LAST_TRIES = 20;

  private final ServerSocketChannel server;
  private final boolean shared;
  private final Selector selector;
  private final Consumer<SocketChannel> onAccepted;
  private final RepeatedEventLog failures =
      new RepeatedEventLog(LOG, "accepting connections fails", 1);
  private volatile boolean closed;

  /** Null until it is started. */
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

  /** Accepts on the listening socket that came as descriptor 0. */
  public static Listener inherited(Consumer<SocketChannel> onAccepted) throws IOException {
    Channel channel = System.inheritedChannel();
    if (!(channel instanceof ServerSocketChannel server)) {
      throw new IOException("descriptor 0 is no listening socket");
    }
    return sharing(server, onAccepted);
  }

  /** Accepts on a listening socket that others hold too. */
  public static Listener sharing(ServerSocketChannel socket, Consumer<SocketChannel> onAccepted)
      throws IOException {
    return new Listener(socket, true, onAccepted);
  }

  /** The address that is listened on. */
  public InetSocketAddress address() {
    return (InetSocketAddress) server.socket().getLocalSocketAddress();
  }

  /** Begins to accept. */
  public void start() {
    acceptingThread = Threads.supervised("listener", this::acceptUntilClosed);
  }

  /**
   * Accepts nothing more, but for what the kernel has accepted by now: whoever wrote a request
   * there would lose it. Returns when that is done.
   */
  public void close() throws InterruptedException {
    closed = true;
    selector.wakeup();
    if (acceptingThread != null) {
      acceptingThread.join(MAX_CLOSE_MILLIS);
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
        // Out of descriptors, or a client gone while it waited: the next one may do better.
        failures.note(System.nanoTime(), e.toString());
        Thread.sleep(FAILURE_PAUSE_MILLIS);
      }
    }
    acceptLast();
    // A closed channel's descriptor is freed when the selector lets go of it.
    Sockets.close(selector);
  }

  private void acceptAll() throws IOException {
    for (SocketChannel client = nextClient(); client != null; client = nextClient()) {
      handOver(client);
    }
  }

  /**
   * What waits in the queue of a socket that is shared, another process takes once this one is
   * closed.
   */
  private SocketChannel nextClient() throws IOException {
    return closed && shared ? null : server.accept();
  }

  private void acceptLast() throws InterruptedException {
    boolean done = false;
    for (int tries = 0; !done && tries < MAX_LAST_TRIES; tries++) {
      try {
        acceptAll();
        done = true;
      } catch (IOException | RuntimeException | Error e) {
        LOG.log(Level.WARNING, "accept failed at the end: " + e);
        Thread.sleep(FAILURE_PAUSE_MILLIS);
      }
    }
  }

  /** What fails here is closed: a channel that nobody knows keeps its descriptor for good. */
  private void handOver(SocketChannel client) throws IOException {
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
