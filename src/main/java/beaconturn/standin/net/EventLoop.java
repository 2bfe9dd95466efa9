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
 * The one thread of a model: drives its scheduler by the real clock and serves its channels. A turn
 * reads all that the kernel had when it began, so that what a peer did before something else is
 * seen a turn later at most.
 */
public final class EventLoop implements Closeable {
  private static final Logger LOG = Logger.getLogger(EventLoop.class.getName());
  private static final long MILLI = 1_000_000;
  private static final long LONGEST_WAIT_MILLIS = 1000;
  private final EventScheduler scheduler;
  private final LongSupplier clock;
  private final Selector selector;
  private final Queue<Runnable> errands = new ConcurrentLinkedQueue<>();
  private final List<Runnable> afterTurn = new ArrayList<>();
  private final Thread thread;
  private volatile boolean closed;
  private long turn;

  /** What a channel's owner does once it is ready; an exception ends only that channel. */
  interface ChannelHandler {
    void ready(SelectionKey key) throws IOException;

    /** The channel has failed and is closed. */
    void failed(IOException cause);
  }

  /**
   * A loop on the scheduler whose time the clock tells, in nanoseconds; it runs from {@link #start}
   * on.
   */
  public EventLoop(String name, EventScheduler scheduler, LongSupplier clock) throws IOException {
    this.scheduler = scheduler;
    this.clock = clock;
    this.selector = Selector.open();
    this.thread = new Thread(this::run, name);
    thread.setDaemon(true);
  }

  /** Begins to serve. */
  public void start() {
    thread.start();
  }

  /** Has the loop's thread run something soon. */
  public void execute(Runnable errand) {
    errands.add(errand);
    selector.wakeup();
  }

  /** Has the loop's thread compute something, and waits for it. */
  public <T> T call(Supplier<T> question) {
    if (Thread.currentThread() == thread) {
      return question.get();
    }
    CompletableFuture<T> answer = new CompletableFuture<>();
    execute(
        () -> {
          try {
            answer.complete(question.get());
          } catch (RuntimeException e) {
            answer.completeExceptionally(e);
          }
        });
    try {
      return answer.get();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IllegalStateException("interrupted while waiting for the loop", e);
    } catch (ExecutionException e) {
      throw new IllegalStateException(e.getCause().getMessage(), e.getCause());
    }
  }

  /** Has something run in the next turn: what this one closes is really closed only then. */
  void nextTurn(Runnable body) {
    afterTurn.add(body);
  }

  /** The number of this turn. */
  long turn() {
    return turn;
  }

  EventScheduler scheduler() {
    return scheduler;
  }

  SelectionKey register(SelectableChannel channel, int interest, ChannelHandler owner) throws IOException {
    channel.configureBlocking(false);
    return channel.register(selector, interest, owner);
  }

  /** Listens at the address; port 0 takes a free one. */
  ServerSocketChannel listen(InetSocketAddress address, int backlog, ChannelHandler owner)
      throws IOException {
    ServerSocketChannel channel = ServerSocketChannel.open();
    try {
      if (address.getPort() == 0) {
        LoopbackPorts.bindFree(at -> channel.bind(at, backlog));
      } else {
        channel.bind(address, backlog);
      }
      register(channel, SelectionKey.OP_ACCEPT, owner);
      return channel;
    } catch (IOException e) {
      channel.close();
      throw e;
    }
  }

  /** Ends the thread and closes all channels. */
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
        step();
      }
    } catch (IOException e) {
      LOG.log(Level.SEVERE, "the loop cannot wait for its channels", e);
    } finally {
      end();
    }
  }

  private void step() throws IOException {
    long wait = scheduler.nextDueNanos() - clock.getAsLong();
    if (wait <= 0 || !errands.isEmpty() || !afterTurn.isEmpty()) {
      selector.selectNow();
    } else {
      selector.select(Math.max(1, Math.min(LONGEST_WAIT_MILLIS, wait / MILLI)));
    }
    turn++;
    List<Runnable> left = List.copyOf(afterTurn);
    afterTurn.clear();
    left.forEach(Runnable::run);
    scheduler.advance(clock.getAsLong());
    for (SelectionKey key : selector.selectedKeys()) {
      serve(key);
    }
    selector.selectedKeys().clear();
    for (int count = errands.size(); count > 0; count--) {
      errands.remove().run();
    }
  }

  private static void serve(SelectionKey key) {
    if (!key.isValid()) {
      return;
    }
    ChannelHandler owner = (ChannelHandler) key.attachment();
    try {
      owner.ready(key);
    } catch (IOException e) {
      owner.failed(e);
    }
  }

  private void end() {
    try {
      for (SelectionKey key : selector.keys()) {
        key.channel().close();
      }
      selector.close();
    } catch (IOException e) {
      LOG.log(Level.FINE, "closing the loop's channels", e);
    }
  }
}
