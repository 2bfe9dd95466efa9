package beaconturn.net.client;

import beaconturn.core.Clock;
import beaconturn.core.Lifecycle;
import beaconturn.core.RoutingMessage;
import beaconturn.net.io.Sockets;
import beaconturn.protocol.ProtocolException;
import beaconturn.protocol.RespValue;
import beaconturn.protocol.RespWriter;
import beaconturn.protocol.Slice;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.CancelledKeyException;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.SocketChannel;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * One client: reads commands as the poller says that bytes are there, and hands the requests to the
 * module. Reading goes on while requests are out, so that a client's close is seen at once.
 */
public class ClientConnection {
  private static final Logger LOG = Logger.getLogger(ClientConnection.class.getName());

  /** How long a client may take to close its end of a connection that the router has ended. */
  static final int LINGER_MILLIS = 250;

  /** How much of what follows malformed input is read, so that the error before it can arrive. */
  private static final int MOST_DISCARDED = 32 * 1024;

  /** So long a planned stop waits for the rest of a command that has begun. */
  private static final long LONGEST_HALF_AT_STOP = 1_000_000_000;

  /**
   * When a client that is refused at a planned stop may come again: another router answers it then.
   */
  private static final long RETRY_ELSEWHERE = 50_000_000;

  private static final long NEVER = Long.MAX_VALUE;

  /** What a connection needs of the router round it. */
  public record Site(
      Supplier<RequestParser> parser,
      Clock clock,
      Lifecycle lifecycle,
      Consumer<RoutingMessage> module,
      ClientPoller poller,
      PendingRequestIds ids,
      Semaphore largeRequests,
      ClientEventLog events,
      Consumer<ClientConnection> whenClosed) {}

  private final SocketChannel channel;
  private final Site site;
  private final ClientWriter writer;
  private final long number;
  private final long since;
  private final PendingRequests calls = new PendingRequests();
  private final PartialCommand partial = new PartialCommand();
  private final AtomicBoolean left = new AtomicBoolean();
  private volatile boolean spoke;
  private volatile boolean paused;

  /** Why it is to end, or null. */
  private volatile EndReason toEnd;

  private volatile boolean largeInHand;

  /** Since when the router has been stopping, or {@code Long.MAX_VALUE} if it has not. */
  private volatile long stoppingSince = NEVER;

  private int large;
  // For the poller's thread:
  private final ClientInputBuffer in = new ClientInputBuffer();
  private SelectionKey key;
  private boolean malformed;

  /**
   * Its sending has been ended: what comes now stays unread, so that the client knows that nobody
   * has it.
   */
  private boolean finished;

  private int discarded;
  private int commands;
  private final RejectionRateLimit rejections;

  public ClientConnection(SocketChannel channel, Site site) {
    this.channel = channel;
    this.site = site;
    this.number = site.events().connected();
    this.since = site.clock().now();
    this.rejections = new RejectionRateLimit(site.clock());
    this.writer = new ClientWriter(channel, site.clock(), this::written);
  }

  public void start() {
    site.poller().call(this);
  }

  /** Since when no request is out and none half read, or {@code Long.MAX_VALUE} if one is. */
  long quietSince() {
    return !partial.exists() && toEnd == null ? writer.quietSince() : NEVER;
  }

  /**
   * Since when half a command waits for the rest, or {@code Long.MAX_VALUE} if none does. It counts
   * from the first byte: a client that sends one now and then would else hold its place for ever.
   */
  public long halfReadSince() {
    return partial.since();
  }

  /** Since when the client has sent nothing at all, or {@code Long.MAX_VALUE} if it has. */
  long silentSince() {
    return spoke || partial.exists() || leaving() || closingSince() != NEVER ? NEVER : since;
  }

  /**
   * Since when nothing more has come of half a command, or {@code Long.MAX_VALUE} if none waits.
   */
  long stalledSince() {
    boolean stalled = partial.exists() && toEnd == null && !paused && writer.quietSince() != NEVER;
    return stalled ? partial.heardAt() : NEVER;
  }

  /** Since when an answer is being written, or {@code Long.MAX_VALUE} if none is. */
  long writingSince() {
    return writer.writingSince();
  }

  /** Since when the client is awaited to close its end, or {@code Long.MAX_VALUE} if it is not. */
  long closingSince() {
    return writer.closingSince();
  }

  /**
   * Closes the connection unless an answer is owed or more has come meanwhile. A command that has
   * begun keeps it open, unless the reason is that very command.
   */
  void endIfQuiet(EndReason reason) {
    if (writer.quietSince() != NEVER && !paused) {
      partial.chosen(reason);
      toEnd = reason;
      site.poller().call(this);
    }
  }

  /**
   * Ends the connection as soon as nothing is owed on it: what has come by now is served, what
   * comes later is refused at once, so that a client that always has something out does not keep it
   * open. To be called again and again.
   */
  void stop() {
    if (stoppingSince == NEVER) {
      stoppingSince = site.clock().now();
    }
    if (writer.quietSince() != NEVER) {
      site.poller().call(this);
    }
  }

  /**
   * A last look before the end: what the kernel holds may be a whole command that a poller with too
   * much to do has not read, and whoever wrote it would lose it. One that begins now gets its time;
   * no other does.
   */
  private void endUnlessMoreCame() throws IOException {
    EndReason reason = toEnd;
    toEnd = null;
    if (nothingCame()
        && (!partial.exists() || mayEndOverCommand(reason))
        && writer.finishIfQuiet()) {
      close(reason);
    }
  }

  /** Whether the command that is half read is the one for which the end was chosen. */
  protected boolean mayEndOverCommand(EndReason reason) {
    return partial.isReason(reason);
  }

  /**
   * The same at a planned stop, where the last answer may still be on its way: its connection is
   * only half closed.
   */
  private void finishUnlessMoreCame() throws IOException {
    boolean late =
        partial.exists()
            && site.clock().now() - Math.max(partial.since(), stoppingSince) > LONGEST_HALF_AT_STOP;
    if (nothingCame() && (late || !partial.exists()) && writer.finishIfQuiet()) {
      finished = true;
    }
  }

  /** Reads once more; whether no whole command has come or waits. */
  private boolean nothingCame() throws IOException {
    int before = commands;
    if (!paused) {
      read(site.poller().lookedAt());
    }
    return !left.get() && !paused && commands == before;
  }

  /**
   * Closes at once, whatever is out: nobody waits for what it still had. Not for the module's
   * thread.
   */
  void close(EndReason reason) {
    if (!left.compareAndSet(false, true)) {
      return;
    }
    Sockets.close(channel);
    int unwritten = writer.abandon();
    List<RespClientRequest> open = calls.unanswered();
    site.events().ended(number, reason, open, unwritten, site.clock().now());
    for (RespClientRequest call : open) {
      // First what the threads that write to cache servers look at.
      call.abandoned();
      site.module().accept(new RoutingMessage.Left(call));
    }
    giveBackLarge();
    site.poller().closed(this);
  }

  /** Whether it is about to be closed, or is and still has its descriptor. */
  boolean leaving() {
    return toEnd != null || left.get();
  }

  /** Its descriptor can be used by another. */
  void freed() {
    site.whenClosed().accept(this);
  }

  /**
   * The poller's word that bytes can be read or written; what can be read came at that time or
   * later.
   */
  void ready(SelectionKey told, long arrivedAt) {
    guarded(
        () -> {
          if (told.isWritable()) {
            writer.write();
          }
          if (told.isReadable()) {
            read(arrivedAt);
          }
        });
  }

  /** Takes up what has been put off; the first time, the connection is made known to the poller. */
  void proceed(Selector selector) {
    guarded(
        () -> {
          if (key == null) {
            key = channel.register(selector, SelectionKey.OP_READ, this);
          }
          parse();
          if (toEnd != null) {
            endUnlessMoreCame();
          } else if (stoppingSince != NEVER && !finished && !malformed) {
            finishUnlessMoreCame();
          }
        });
  }

  private interface Step {
    void run() throws IOException;
  }

  /** One connection's failure must not touch the others on the poller's thread. */
  private void guarded(Step step) {
    try {
      if (!left.get()) {
        step.run();
        awaitNext();
      }
    } catch (IOException e) {
      LOG.finer("client connection ended: " + e.getMessage());
      close(EndReason.CLIENT_LEFT);
    } catch (CancelledKeyException e) {
      // Its channel was closed as its sending could not be ended: the client had reset it.
      close(EndReason.CLIENT_LEFT);
    } catch (RuntimeException | Error e) {
      failed(e);
    }
  }

  /**
   * The router's own failure frees nobody of an answer: what is open fails, then the connection
   * ends.
   */
  private void failed(Throwable failure) {
    LOG.log(Level.WARNING, "client connection " + number + " failed and ends", failure);
    try {
      if (malformed || finished) {
        close(EndReason.DEFECT);
        return;
      }
      for (RespClientRequest call : calls.unanswered()) {
        call.failed();
        site.module().accept(new RoutingMessage.Left(call));
      }
      malformed("internal error");
      awaitNext();
    } catch (RuntimeException | Error e) {
      LOG.log(Level.WARNING, "client connection " + number + " failed again and is closed", e);
      close(EndReason.DEFECT);
    }
  }

  private void awaitNext() {
    EndReason broken = writer.brokenBy();
    if (broken != null) {
      close(broken);
    } else if (!left.get()) {
      int ops = (reads() ? SelectionKey.OP_READ : 0) | (writer.stuck() ? SelectionKey.OP_WRITE : 0);
      if (key.interestOps() != ops) {
        key.interestOps(ops);
      }
    }
  }

  /**
   * Whether bytes are to be read. While commands wait for room reading goes on ahead, to see a
   * client's close.
   */
  private boolean reads() {
    if (malformed) {
      return !paused;
    }
    return !finished && in.wantsMore(largeInHand);
  }

  private void read(long arrivedAt) throws IOException {
    if (malformed) {
      discard();
      return;
    }
    int got = in.fill(channel, arrivedAt, largeInHand);
    if (got < 0) {
      // What came just before the end is not handled: nobody waits for it.
      close(EndReason.CLIENT_LEFT);
    } else if (got > 0) {
      partial.heard(site.clock().now());
      parse();
    }
  }

  /** Handles the commands that are whole, as far as there is room for their answers. */
  private void parse() {
    try {
      RespValue next = nextCommand();
      while (next != null) {
        commands++;
        command(next);
        if (in.isEmpty()) {
          partial.taken();
        } else {
          partial.takenBefore(site.clock().now());
        }
        next = nextCommand();
      }
      if (in.large() && !largeInHand && !malformed) {
        takeLarge();
      }
    } catch (ProtocolException e) {
      malformed(e.getMessage());
    }
  }

  private RespValue nextCommand() throws ProtocolException {
    if (malformed) {
      return null;
    }
    // Set before it is asked: who writes the answer that makes room must see that it is waited for.
    paused = true;
    if (!writer.hasRoom() || rejections.exhausted()) {
      return null;
    }
    paused = false;
    return in.next();
  }

  /** Whatever is wrong with one whole command is answered in its place and concerns no other. */
  private void command(RespValue value) {
    spoke = true;
    largeInHand = false;
    try {
      if (!(value instanceof RespValue.Array array)
          || array.items() == null
          || array.items().isEmpty()
          || !(array.items().get(0) instanceof RespValue.Bulk name)
          || name.bytes() == null) {
        throw new InvalidCommandException("expected a command");
      }
      if (RequestParser.isRequest(name.bytes())) {
        request(site.parser().get().parse(array.items(), in.lastArrivedAt(), site.ids()));
      } else {
        writer.take(ResponseSlot.of(other(name.bytes().toString().toUpperCase(Locale.ROOT))));
      }
    } catch (InvalidCommandException e) {
      rejections.note();
      site.events().rejected(number, value, e.getMessage(), site.clock().now());
      rejected(e.getMessage());
    }
  }

  /** The command at hand gets an error in its place. */
  protected void rejected(String reason) {
    writer.take(ResponseSlot.of(RespWriter.failure("ERR " + reason)));
  }

  private void request(RespClientRequest call) {
    if (writer.take(call)) {
      calls.add(call);
      call.taken();
      if (in.lastArrivedAt() > stoppingSince) {
        call.refused(call.settings().permissions().retryAfter() ? RETRY_ELSEWHERE : 0);
      } else {
        site.module().accept(new RoutingMessage.Arrived(call));
      }
    } else {
      call.fill(ClientWriter.END);
    }
  }

  private Slice other(String name) {
    return switch (name) {
      case "PING" ->
          site.lifecycle().ready() ? RespWriter.simple("PONG") : RespWriter.failure("ERR starting");
      case "CLIENT", "SELECT" -> RespWriter.simple("OK");
      default -> RespWriter.failure("ERR unknown command");
    };
  }

  /**
   * Large requests are held in memory till they are answered: so many at once, the others wait
   * unread until the poller calls them again; the time for a command does not run meanwhile.
   */
  private void takeLarge() {
    if (!site.largeRequests().tryAcquire()) {
      paused = true;
      return;
    }
    largeInHand = true;
    synchronized (this) {
      large++;
    }
  }

  private synchronized void giveBackLarge() {
    site.largeRequests().release(large);
    large = 0;
  }

  /**
   * Answers have been written; when all are, nothing of them is kept while the connection is idle.
   */
  private void written(boolean quiet) {
    if (quiet) {
      calls.forgetAnswered();
      if (!largeInHand) {
        giveBackLarge();
      }
    }
    // At a planned stop the end follows the last answer at once: what came between would be
    // refused.
    if (paused
        || writer.stuck()
        || writer.brokenBy() != null
        || (quiet && stoppingSince != NEVER)) {
      site.poller().call(this);
    }
  }

  /** Has a connection that waits for room look again. */
  void retry() {
    if (paused) {
      site.poller().call(this);
    }
  }

  /**
   * Input that cannot be split into commands: what came before it is answered, then one error, then
   * the connection ends.
   */
  protected final void malformed(String reason) {
    malformed = true;
    site.events().malformed(number, reason, writer.owed(), site.clock().now());
    writer.take(ResponseSlot.of(RespWriter.failure("ERR " + reason)));
    writer.finish();
    // While answers are owed what follows stays unread; after that the sweep closes the connection.
    paused = writer.closingSince() == NEVER;
  }

  /**
   * Reads on a little without looking: unread bytes would reset the error on its way. Not to the
   * end, which clients that send without end or 60 MB don't reach: they would have the processor to
   * themselves.
   */
  private void discard() throws IOException {
    int got = channel.read(ByteBuffer.allocate(Sockets.LARGEST_STEP));
    discarded += got;
    if (got < 0 || discarded >= MOST_DISCARDED) {
      close(EndReason.MALFORMED);
    }
  }
}
