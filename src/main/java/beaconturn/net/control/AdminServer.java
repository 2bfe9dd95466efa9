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
 * Serves the admin address. A single thread, that of {@link #run}, serves all connections with
 * non-blocking I/O. An override is acknowledged when the routing thread has applied it, or after a
 * time limit.
 */
public final class AdminServer implements Runnable {
  private static final Logger LOG = Logger.getLogger(AdminServer.class.getName());

  /** Keeps idle callers from exhausting the file descriptors of the router. */
  private static final int MAX_CONNECTIONS = 16;

  private static final long POLL_INTERVAL_MILLIS = 100;

  private final ServerSocketChannel server;
  private final Selector selector;
  private final AdminOperations operations;
  private final Counters counters;
  private final ServerOverrideFile file;
  private final LongSupplier clock;

  /** Tasks that other threads have posted to this server's thread. */
  private final Queue<Runnable> posted = new ConcurrentLinkedQueue<>();

  /** Confined to the thread of {@link #run}. */
  private final List<AdminConnection> connections = new ArrayList<>();

  private volatile boolean closed;

  /**
   * Binds the address; no connection is served before {@link #run}.
   *
   * @param file stores the overrides, and is polled for those of other processes of this router
   * @param clock monotonic clock in nanoseconds
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

  /** Returns the bound address. */
  public InetSocketAddress address() {
    return (InetSocketAddress) server.socket().getLocalSocketAddress();
  }

  /** Stops {@link #run} and releases the address; any thread. */
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
        LOG.log(Level.SEVERE, "admin address: a command failed; the server keeps running", e);
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
    file.pollChanges(nowNanos)
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
      if (connections.size() >= MAX_CONNECTIONS) {
        closeOldest();
      }
      channel.configureBlocking(false);
      connections.add(new AdminConnection(this, channel));
    } catch (IOException e) {
      LOG.log(Level.WARNING, "admin address: accept failed: " + e);
    }
  }

  /** Closes the oldest connection; those with a pending command are closed last. */
  private void closeOldest() {
    connections.stream()
        .min(Comparator.comparingLong(AdminConnection::evictionOrder))
        .ifPresent(AdminConnection::close);
  }

  /** Posts a task to the thread of {@link #run}; any thread, does not block. */
  void post(Runnable task) {
    posted.add(task);
    selector.wakeup();
  }

  /** Removes a closed connection. */
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

  static void closeQuietly(Closeable resource) {
    try {
      resource.close();
    } catch (IOException e) {
      LOG.finer("admin address: close failed: " + e.getMessage());
    }
  }
}
