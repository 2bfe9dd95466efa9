package beaconturn.net.control;

import beaconturn.stats.Counters;
import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.function.LongSupplier;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * The second address: one thread serves all callers and waits for none. A call that has to reach
 * the module is answered when the module has taken it, or a little before the answer is due.
 */
public final class AdminServer implements Runnable {
  private static final Logger LOG = Logger.getLogger(AdminServer.class.getName());
  private static final long MILLI = 1_000_000;

  /** Callers that stay and say nothing must not take the router's descriptors. */
  private static final int MOST_CALLERS = 16;

  private static final long LONGEST_STAY = 5_000 * MILLI;

  /**
   * An answer is due within a second; a call that the module has not taken by then takes force all
   * the same.
   */
  private static final long LONGEST_WAIT = 700 * MILLI;

  private static final long TICK_MILLIS = 100;
  private static final long NEVER = Long.MAX_VALUE;

  private final ServerSocketChannel server;
  private final Selector selector;
  private final AdminOperations office;
  private final Counters counters;
  private final ServerOverrideFile file;
  private final LongSupplier clock;
  private final Queue<Runnable> told = new ConcurrentLinkedQueue<>();
  private final List<Caller> callers = new ArrayList<>();
  private volatile boolean closed;

  /**
   * Binds the address; nothing is answered before {@link #run}. The clock is in nanoseconds; the
   * file keeps what operators said, and is followed where another process of this router writes it
   * too.
   */
  public AdminServer(
      InetSocketAddress address,
      AdminOperations office,
      Counters counters,
      ServerOverrideFile file,
      LongSupplier clock)
      throws IOException {
    this.office = office;
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

  /** Ends {@link #run} and frees the address. */
  public void close() {
    closed = true;
    selector.wakeup();
  }

  @Override
  public void run() {
    while (!closed) {
      try {
        selector.select(this::ready, TICK_MILLIS);
        for (Runnable next = told.poll(); next != null; next = told.poll()) {
          next.run();
        }
        long now = clock.getAsLong();
        List.copyOf(callers).forEach(c -> c.check(now));
        file.changes(now).forEach(h -> office.hand(h, true, known -> {}));
      } catch (IOException | RuntimeException | Error e) {
        LOG.log(Level.SEVERE, "a call on the second address failed, others go on", e);
      }
    }
    List.copyOf(callers).forEach(Caller::close);
    closeQuietly(server);
    closeQuietly(selector);
  }

  private void ready(SelectionKey key) {
    if (key.isValid() && key.isAcceptable()) {
      accept();
    } else if (key.isValid()) {
      ((Caller) key.attachment()).read();
    }
  }

  private void accept() {
    try {
      SocketChannel channel = server.accept();
      if (channel == null) {
        return;
      }
      if (callers.size() >= MOST_CALLERS) {
        callers.stream()
            .min(Comparator.comparingLong(c -> c.waitsUntil == NEVER ? c.since : NEVER))
            .ifPresent(Caller::close);
      }
      channel.configureBlocking(false);
      Caller caller = new Caller(channel, clock.getAsLong());
      channel.register(selector, SelectionKey.OP_READ, caller);
      callers.add(caller);
    } catch (IOException e) {
      LOG.log(Level.WARNING, "second address: accept failed: " + e);
    }
  }

  private static void closeQuietly(Closeable what) {
    try {
      what.close();
    } catch (IOException e) {
      LOG.finer("second address: " + e.getMessage());
    }
  }

  /** One connection on the second address, for one call. */
  private final class Caller {
    private final SocketChannel channel;
    private final LineReader line = new LineReader();
    private final long since;
    private ServerOverride pending;
    private long waitsUntil = NEVER;

    private Caller(SocketChannel channel, long since) {
      this.channel = channel;
      this.since = since;
    }

    private void read() {
      try {
        String call = line.read(channel);
        if (call != null) {
          // Nothing more is asked for: its end of sending must not wake the selector again and
          // again.
          channel.keyFor(selector).interestOps(0);
          take(call);
        }
      } catch (AdminCommand.Wrong e) {
        answer("NAK " + e.getMessage());
      } catch (IOException e) {
        close();
      }
    }

    private void take(String text) throws AdminCommand.Wrong {
      AdminCommand call = AdminCommand.of(text);
      switch (call.name()) {
        case AdminCommand.READY -> ready(office.notReady());
        case AdminCommand.FIGURES -> answer(lines(counters.read()));
        case AdminCommand.HEALTH -> {
          List<Counters.Figure> health = office.health();
          answer(health == null ? "NAK no such call" : lines(health));
        }
        default ->
            hand(
                new ServerOverride(
                    call.id(), call.name().equals(AdminCommand.OUT), MonotonicMillis.millis()));
      }
    }

    private void ready(String whyNot) {
      answer(whyNot == null ? "ACK" : "NAK " + whyNot);
    }

    private void hand(ServerOverride hand) {
      pending = hand;
      waitsUntil = clock.getAsLong() + LONGEST_WAIT;
      office.hand(
          hand,
          false,
          known -> {
            told.add(() -> taken(known));
            selector.wakeup();
          });
    }

    /** The module's word has come, or it is time for the answer without it. */
    private void taken(boolean known) {
      if (pending == null) {
        return;
      }
      ServerOverride hand = pending;
      pending = null;
      if (known) {
        file.put(hand);
        LOG.info("cache server " + hand.id() + (hand.out() ? " is out" : " is back") + " by hand");
      }
      answer(known ? "ACK" : "NAK no cache server has this id");
    }

    private void check(long now) {
      if (now >= waitsUntil) {
        taken(true);
      } else if (now - since > LONGEST_STAY) {
        close();
      }
    }

    /**
     * Answers are small beside the kernel's buffer: one that does not fit is for nobody who reads.
     */
    private void answer(String text) {
      try {
        channel.write(ByteBuffer.wrap((text + "\n").getBytes(StandardCharsets.US_ASCII)));
        channel.shutdownOutput();
        line.drain(channel);
      } catch (IOException e) {
        LOG.finer("second address: a caller left before its answer");
      }
      close();
    }

    private void close() {
      callers.remove(this);
      closeQuietly(channel);
    }
  }

  /**
   * The figures as lines of StatsD: name, value and whether it is a count or a gauge; then the
   * end's mark.
   */
  private static String lines(List<Counters.Figure> figures) {
    StringBuilder text = new StringBuilder();
    for (Counters.Figure f : figures) {
      text.append("app.")
          .append(f.name())
          .append(':')
          .append(f.value())
          .append(f.level() ? "|g\n" : "|c\n");
    }
    return text.append("--").toString();
  }
}
