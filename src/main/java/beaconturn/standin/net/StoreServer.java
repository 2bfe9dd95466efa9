package beaconturn.standin.net;

import beaconturn.standin.EventScheduler;
import beaconturn.standin.store.StoreModel;
import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.util.function.LongSupplier;

/**
 * Serves the model of the coordination store on loopback and executes the commands that inject
 * faults into it.
 */
public final class StoreServer implements Closeable {
  private static final int BACKLOG = 512;
  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final String HELP =
      "down, up, slow MILLIS, lose COUNT, freeze, thaw, empty, rewind REVISIONS, status";
  private final EventLoop loop;
  private final StoreModel model;
  private final ServerSocketChannel listener;
  private long delayNanos;
  private int repliesToLose;
  private boolean down;
  private long callCount;

  /**
   * Opens the port; connections are served from {@link #start} on.
   *
   * @param port the port, or 0 for any free one
   * @param clusterId the store's first cluster id
   * @param clock the time in nanoseconds
   * @param changeListener receives all changes of keys, on the store's thread
   */
  public StoreServer(
      int port, long clusterId, LongSupplier clock, StoreModel.ChangeListener changeListener)
      throws IOException {
    EventScheduler scheduler = new EventScheduler(clock.getAsLong());
    this.loop = new EventLoop("store", scheduler, clock);
    this.model = new StoreModel(scheduler, clusterId, changeListener);
    this.listener =
        loop.listen(
            new InetSocketAddress("127.0.0.1", port),
            BACKLOG,
            new EmulatedFleetServer.Acceptor(
                "store", channel -> new StoreSession(loop, channel, this)));
  }

  /** Starts the thread that serves all connections. */
  public void start() {
    loop.start();
  }

  /** Returns the listening address. */
  public InetSocketAddress address() throws IOException {
    return (InetSocketAddress) listener.getLocalAddress();
  }

  /** Executes one command line and returns its reply. */
  public String run(String line) {
    return loop.call(() -> execute(line.trim().split("\\s+")));
  }

  private String execute(String[] words) {
    switch (words[0]) {
      case "slow" -> delayNanos = argument(words) * NANOS_PER_MILLI;
      case "lose" -> repliesToLose = (int) argument(words);
      case "down" -> {
        down = true;
        model.suspendLeaseExpiry();
      }
      case "up" -> {
        down = false;
        model.restartLeases();
      }
      case "freeze" -> model.freeze(true);
      case "thaw" -> model.freeze(false);
      case "empty" -> model.replaceWithEmpty(model.clusterId() + 1);
      case "rewind" -> model.rewind(argument(words));
      case "status" -> {
        return "cluster "
            + model.clusterId()
            + ", revision "
            + model.revision()
            + ", "
            + callCount
            + " calls";
      }
      default -> {
        return "error: unknown order '" + words[0] + "': " + HELP;
      }
    }
    return "ok: " + String.join(" ", words);
  }

  /** Returns the argument of a command; 0 if it is missing or not a number. */
  private static long argument(String[] words) {
    return words.length == 2 && words[1].matches("[0-9]{1,9}") ? Long.parseLong(words[1]) : 0;
  }

  StoreModel model() {
    return model;
  }

  long delayNanos() {
    return delayNanos;
  }

  boolean down() {
    return down;
  }

  void countCall() {
    callCount++;
  }

  /** Returns whether the reply to the current transaction, which was executed, is to be lost. */
  boolean losesReply() {
    return repliesToLose > 0 && repliesToLose-- > 0;
  }

  @Override
  public void close() {
    loop.close();
  }
}
