package beaconturn.standin.net;

import beaconturn.standin.EventScheduler;
import beaconturn.standin.store.StoreModel;
import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.util.function.LongSupplier;

/** The coordination store's stand-in on loopback, and lines by which it is made to fail. */
public final class StoreServer implements Closeable {
  private static final int BACKLOG = 512;
  private static final long MILLI = 1_000_000;
  private static final String HELP =
      "down, up, slow MILLIS, lose COUNT, freeze, thaw, empty, rewind REVISIONS, status";
  private final EventLoop loop;
  private final StoreModel model;
  private final ServerSocketChannel listener;
  private long delay;
  private int losing;
  private boolean down;
  private long calls;

  /** Opens the port, 0 for any free one; nobody is served before {@link #start}. */
  public StoreServer(int port, long cluster, LongSupplier clock, StoreModel.ChangeListener watcher)
      throws IOException {
    EventScheduler agenda = new EventScheduler(clock.getAsLong());
    this.loop = new EventLoop("store", agenda, clock);
    this.model = new StoreModel(agenda, cluster, watcher);
    this.listener =
        loop.listen(
            new InetSocketAddress("127.0.0.1", port),
            BACKLOG,
            new EmulatedFleetServer.Acceptor(
                "store", channel -> new StoreSession(loop, channel, this)));
  }

  /** Begins to serve on a thread of its own. */
  public void start() {
    loop.start();
  }

  /** Where it listens. */
  public InetSocketAddress address() throws IOException {
    return (InetSocketAddress) listener.getLocalAddress();
  }

  /** Carries out one line, and says what was done or what is wrong. */
  public String run(String line) {
    return loop.call(() -> order(line.trim().split("\\s+")));
  }

  private String order(String[] words) {
    switch (words[0]) {
      case "slow" -> delay = number(words) * MILLI;
      case "lose" -> losing = (int) number(words);
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
      case "rewind" -> model.rewind(number(words));
      case "status" -> {
        return "cluster "
            + model.clusterId()
            + ", revision "
            + model.revision()
            + ", "
            + calls
            + " calls";
      }
      default -> {
        return "error: unknown order '" + words[0] + "': " + HELP;
      }
    }
    return "ok: " + String.join(" ", words);
  }

  private static long number(String[] words) {
    return words.length == 2 && words[1].matches("[0-9]{1,9}") ? Long.parseLong(words[1]) : 0;
  }

  StoreModel model() {
    return model;
  }

  long delay() {
    return delay;
  }

  boolean down() {
    return down;
  }

  void counted() {
    calls++;
  }

  /** Whether the answer to this swap, which has come about, is to be lost. */
  boolean losesThis() {
    return losing > 0 && losing-- > 0;
  }

  @Override
  public void close() {
    loop.close();
  }
}
