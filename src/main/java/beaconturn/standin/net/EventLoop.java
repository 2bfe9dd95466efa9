package beaconturn.standin.net;

import beaconturn.standin.EventScheduler;
import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.SelectableChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutionException;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * The single thread of a model: advances its scheduler to the real time and serves its channels.
 *
 * <p>A turn reads all input that the kernel had at its start. Therefore the input of two peers is
 * seen in the order in which it was sent, or at most one turn later.
 */
public final class EventLoop implements Closeable {
  private static final Logger LOG = Logger.getLogger(EventLoop.class.getName());
  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final long MAX_SELECT_MILLIS = 1000;
  private final EventScheduler scheduler;
  private final LongSupplier clock;
  private final Selector selector;
  private final Queue<Runnable> tasks = new ConcurrentLinkedQueue<>();
  private final List<Runnable> nextTurnTasks = new ArrayList<>();
  private final Thread thread;
  private volatile boolean closed;
  private long turn;

  /** Serves one channel. */
  interface ChannelHandler {
    /** Serves the channel that is ready; an exception is passed to {@link #failed}. */
    void ready(SelectionKey key) throws IOException;

    /** Handles a failure of the channel. */
    void failed(IOException cause);
  }

  /**
   * Creates a loop that runs from {@link #start} on.
   *
   * @param name the name of its thread
   * @param scheduler is advanced to the time of the clock
   * @param clock the time in nanoseconds
   */
  public EventLoop(String name, EventScheduler scheduler, LongSupplier clock) throws IOException {
    this.scheduler = scheduler;
    this.clock = clock;
    this.selector = Selector.open();
    this.thread = new Thread(this::run, name);
    thread.setDaemon(true);
  }

  /** Starts the thread. */
  public void start() {
    thread.start();
  }

  /** Runs a task on the loop's thread, at the end of a turn. */
  public void execute(Runnable task) {
    tasks.add(task);
    selector.wakeup();
  }

  /** Evaluates a function on the loop's thread and waits for its result. */
  public <T> T call(Supplier<T> function) {
    if (Thread.currentThread() == thread) {
      return function.get();
    }
    CompletableFuture<T> result = new CompletableFuture<>();
    execute(
        () -> {
          try {
            result.complete(function.get());
          } catch (RuntimeException e) {
            result.completeExceptionally(e);
          }
        });
    try {
      return result.get();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IllegalStateException("interrupted while waiting for the event loop", e);
    } catch (ExecutionException e) {
      throw new IllegalStateException(e.getCause().getMessage(), e.getCause());
    }
  }

  /** Runs a task in the next turn, when the channels that this turn closes are released. */
  void nextTurn(Runnable body) {
    nextTurnTasks.add(body);
  }

  /** Returns the number of the current turn. */
  long turn() {
    return turn;
  }

  EventScheduler scheduler() {
    return scheduler;
  }

  SelectionKey register(SelectableChannel channel, int interestOps, ChannelHandler handler)
      throws IOException {
    channel.configureBlocking(false);
    return channel.register(selector, interestOps, handler);
  }

  /** Listens at an address; port 0 stands for any free one. */
  ServerSocketChannel listen(InetSocketAddress address, int backlog, ChannelHandler handler)
      throws IOException {
    ServerSocketChannel channel = ServerSocketChannel.open();
    try {
      if (address.getPort() == 0) {
        LoopbackPorts.bindFree(free -> channel.bind(free, backlog));
      } else {
        channel.bind(address, backlog);
      }
      register(channel, SelectionKey.OP_ACCEPT, handler);
      return channel;
    } catch (IOException e) {
      channel.close();
      throw e;
    }
  }

  /** Stops the thread and closes all channels. */
  @Override
  public void close() {
    closed = true;
    selector.wakeup();
    try {
      if (Thread.currentThread() != thread) {
        thread.join();
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void run() {
    try {
      while (!closed) {
        runTurn();
      }
    } catch (IOException e) {
      LOG.log(Level.SEVERE, "event loop stopped: select failed", e);
    } finally {
      closeChannels();
    }
  }

  private void runTurn() throws IOException {
    long waitNanos = scheduler.nextDueNanos() - clock.getAsLong();
    if (waitNanos <= 0 || !tasks.isEmpty() || !nextTurnTasks.isEmpty()) {
      selector.selectNow();
    } else {
      selector.select(Math.max(1, Math.min(MAX_SELECT_MILLIS, waitNanos / NANOS_PER_MILLI)));
    }
    turn++;
    List<Runnable> due = List.copyOf(nextTurnTasks);
    nextTurnTasks.clear();
    due.forEach(Runnable::run);
    scheduler.advance(clock.getAsLong());
    for (SelectionKey key : selector.selectedKeys()) {
      serve(key);
    }
    selector.selectedKeys().clear();
    for (int count = tasks.size(); count > 0; count--) {
      tasks.remove().run();
    }
  }

  private static void serve(SelectionKey key) {
    if (!key.isValid()) {
      return;
    }
    ChannelHandler handler = (ChannelHandler) key.attachment();
    try {
      handler.ready(key);
    } catch (IOException e) {
      handler.failed(e);
    }
  }

  private void closeChannels() {
    try {
      for (SelectionKey key : selector.keys()) {
        key.channel().close();
      }
      selector.close();
    } catch (IOException e) {
      LOG.log(Level.FINE, "closing the channels of the event loop failed", e);
    }
  }
}
