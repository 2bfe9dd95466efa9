package beaconturn.net.control;

import beaconturn.stats.Counters;
import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.function.LongSupplier;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * The server of the admin address: one thread, that of {@link #run}, serves all callers and waits
 * for none. A command that has to reach the routing thread is answered when that has taken it, or a
 * little before the answer is due.
 */
public final class AdminServer implements Runnable {
  private static final Logger LOG = Logger.getLogger(AdminServer.class.getName());

  /** Callers that stay and say nothing must not take the router's descriptors. */
  private static final int MOST_CONNECTIONS = 16;

  private static final long POLL_INTERVAL_MILLIS = 100;

  private final ServerSocketChannel server;
  private final Selector selector;
  private final AdminOperations operations;
  private final Counters counters;
  private final ServerOverrideFile file;
  private final LongSupplier clock;

  /** What other threads have this one do. */
  private final Queue<Runnable> posted = new ConcurrentLinkedQueue<>();

  /** For the thread of {@link #run} alone. */
  private final List<AdminConnection> connections = new ArrayList<>();

  private volatile boolean closed;

  /**
   * Binds the address; nothing is answered before {@link #run}.
   *
   * @param file keeps what operators said, and is followed where another process of this router
   *     writes it too
   * @param clock in nanoseconds
   * @throws IOException if the address cannot be bound
   */
  public AdminServer(
      InetSocketAddress address,
      AdminOperations operations,
      Counters counters,
      ServerOverrideFile file,
      LongSupplier clock)
      throws IOException {
    this.operations = operations;
    this.counters = counters;
    this.file = file;
    this.clock = clock;
    this.server = ServerSocketChannel.open();
    server.setOption(StandardSocketOptions.SO_REUSEADDR, true);
    server.bind(address);
    server.configureBlocking(false);
    this.selector = Selector.open();
    server.register(selector, SelectionKey.OP_ACCEPT);
  }

  /** Where operators call. */
  public InetSocketAddress address() {
    return (InetSocketAddress) server.socket().getLocalSocketAddress();
  }

  /** Ends {@link #run} and frees the address; any thread. */
  public void close() {
    closed = true;
    selector.wakeup();
  }

  @Override
  public void run() {
    while (!closed) {
      try {
        runOnce();
      } catch (IOException | RuntimeException | Error e) {
        LOG.log(Level.SEVERE, "a call on the second address failed, others go on", e);
      }
    }
    List.copyOf(connections).forEach(AdminConnection::close);
    closeQuietly(server);
    closeQuietly(selector);
  }

  private void runOnce() throws IOException {
    selector.select(this::ready, POLL_INTERVAL_MILLIS);
    for (Runnable next = posted.poll(); next != null; next = posted.poll()) {
      next.run();
    }
    long nowNanos = clock.getAsLong();
    List.copyOf(connections).forEach(connection -> connection.check(nowNanos));
    file.changes(nowNanos)
        .forEach(override -> operations.applyOverride(override, true, known -> {}));
  }

  private void ready(SelectionKey key) {
    if (key.isValid() && key.isAcceptable()) {
      accept();
    } else if (key.isValid()) {
      ((AdminConnection) key.attachment()).read();
    }
  }

  private void accept() {
    try {
      SocketChannel channel = server.accept();
      if (channel == null) {
        return;
      }
      if (connections.size() >= MOST_CONNECTIONS) {
        closeOldest();
      }
      channel.configureBlocking(false);
      connections.add(new AdminConnection(this, channel));
    } catch (IOException e) {
      LOG.log(Level.WARNING, "second address: accept failed: " + e);
    }
  }

  /** Connections whose command is being carried out go last. */
  private void closeOldest() {
    connections.stream()
        .min(Comparator.comparingLong(AdminConnection::closeOrder))
        .ifPresent(AdminConnection::close);
  }

  /** Has the thread of {@link #run} do something; any thread, no wait. */
  void post(Runnable step) {
    posted.add(step);
    selector.wakeup();
  }

  /** Forgets a connection that is closed. */
  void closed(AdminConnection connection) {
    connections.remove(connection);
  }

  Selector selector() {
    return selector;
  }

  AdminOperations operations() {
    return operations;
  }

  Counters counters() {
    return counters;
  }

  ServerOverrideFile file() {
    return file;
  }

  long nowNanos() {
    return clock.getAsLong();
  }

  static void closeQuietly(Closeable what) {
    try {
      what.close();
    } catch (IOException e) {
      LOG.finer("second address: " + e.getMessage());
    }
  }
}
