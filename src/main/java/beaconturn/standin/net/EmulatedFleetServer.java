package beaconturn.standin.net;

import beaconturn.protocol.Json;
import beaconturn.standin.DiscoveryModel;
import beaconturn.standin.EmulatedFleet;
import beaconturn.standin.EndpointListing;
import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.SelectionKey;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Function;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import java.util.function.UnaryOperator;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * Serves an emulated fleet on loopback sockets: for each router, an address of discovery and one of
 * each cache server. All models run on the thread of one event loop.
 */
public final class EmulatedFleetServer implements Closeable {
  private static final Logger LOG = Logger.getLogger(EmulatedFleetServer.class.getName());
  private static final int BACKLOG = 64;
  private static final long NANOS_PER_MILLI = 1_000_000;
  private final EmulatedFleet fleet;
  private final EventLoop loop;
  private final CacheServerListeners cacheListeners;
  private final List<ServerSocketChannel> discoveryListeners = new ArrayList<>();
  private final Map<InetSocketAddress, InetSocketAddress> addressOverrides =
      new ConcurrentHashMap<>();

  /**
   * Opens all addresses; connections are served from {@link #start} on.
   *
   * @param clock the time in nanoseconds
   * @param routers the number of routers, each of which has its own addresses
   * @param firstPort the first of consecutive ports: one of discovery for each router, then one of
   *     each cache server for each router; 0 for any free ports
   */
  public EmulatedFleetServer(EmulatedFleet fleet, LongSupplier clock, int routers, int firstPort)
      throws IOException {
    this.fleet = fleet;
    this.loop = new EventLoop("stand-ins", fleet.scheduler(), clock);
    this.cacheListeners = new CacheServerListeners(loop, fleet);
    for (int router = 0; router < routers; router++) {
      int port = firstPort == 0 ? 0 : firstPort + router;
      discoveryListeners.add(
          loop.listen(
              new InetSocketAddress("127.0.0.1", port), BACKLOG, discoveryAcceptor(router)));
    }
    cacheListeners.open(routers, firstPort == 0 ? 0 : firstPort + routers);
  }

  private Acceptor discoveryAcceptor(int router) {
    Function<DiscoveryModel.EndpointUpdate, Json> encoder = update -> encode(router, update);
    return new Acceptor(
        "discovery",
        channel -> new DiscoverySession(loop, channel, fleet.discovery(), router, encoder));
  }

  /**
   * Opens a control port on loopback and returns its address.
   *
   * @param port the port, or 0 for any free one
   * @param commands executes a command line and returns its reply
   */
  public InetSocketAddress openControlPort(int port, UnaryOperator<String> commands)
      throws IOException {
    ServerSocketChannel listener =
        loop.listen(
            new InetSocketAddress("127.0.0.1", port),
            BACKLOG,
            new Acceptor("control", channel -> new FaultControlSession(loop, channel, commands)));
    return (InetSocketAddress) listener.getLocalAddress();
  }

  /** Starts the thread that serves all connections. */
  public void start() {
    loop.start();
  }

  /** Evaluates a function on the model's thread and waits for its result. */
  public <T> T call(Supplier<T> function) {
    return loop.call(function);
  }

  /** Runs a task on the model's thread without waiting for it. */
  public void execute(Runnable task) {
    loop.execute(task);
  }

  /**
   * Applies a change on the model's thread and waits until the sockets have followed it, one turn
   * later.
   */
  public void apply(Runnable change) {
    loop.call(
        () -> {
          change.run();
          return true;
        });
    loop.call(() -> true);
  }

  /** Returns the fleet, to be accessed on the model's thread only. */
  public EmulatedFleet fleet() {
    return fleet;
  }

  /** Returns the address of a router's discovery. */
  public InetSocketAddress discoveryAddress(int router) {
    try {
      return (InetSocketAddress) discoveryListeners.get(router).getLocalAddress();
    } catch (IOException e) {
      throw new IllegalStateException(
          "the discovery listener of router " + router + " is closed", e);
    }
  }

  /** Returns the address at which a router reaches a cache server directly. */
  public InetSocketAddress serverAddress(int router, int server) {
    return cacheListeners.address(router, server);
  }

  /** Makes discovery send a router another address of a cache server, such as a proxy's. */
  public void overrideServerAddress(int router, int server, InetSocketAddress address) {
    addressOverrides.put(serverAddress(router, server), address);
  }

  /** Returns the endpoint list that a router is configured with, as discovery encodes it. */
  public Json initialEndpointList(int router) {
    return loop.call(() -> encode(router, fleet.discovery().initialList(router)));
  }

  private Json encode(int router, DiscoveryModel.EndpointUpdate update) {
    Map<String, Json> members = new LinkedHashMap<>();
    members.put("seq", new Json.NumberLiteral(Long.toString(update.version())));
    members.put("whole", new Json.Bool(update.complete()));
    members.put(
        "hosts", new Json.Items(update.entries().stream().map(e -> encode(router, e)).toList()));
    return new Json.Members(members);
  }

  private Json encode(int router, EndpointListing entry) {
    InetSocketAddress direct = cacheListeners.address(router, entry.serverIndex());
    InetSocketAddress dial = addressOverrides.getOrDefault(direct, direct);
    Map<String, Json> members = new LinkedHashMap<>();
    members.put("host", new Json.Text(entry.host()));
    members.put("dial", new Json.Text(dial.getHostString() + ":" + dial.getPort()));
    members.put("site", new Json.Text(entry.site()));
    members.put("class", new Json.Text(entry.kind()));
    members.put("block", new Json.NumberLiteral(Integer.toString(entry.block())));
    members.put("health", new Json.Text(entry.health().name().toLowerCase(Locale.ROOT)));
    members.put("share", new Json.NumberLiteral(Double.toString(entry.share())));
    members.put(
        "born_ms", new Json.NumberLiteral(Long.toString(entry.startedAtNanos() / NANOS_PER_MILLI)));
    return new Json.Members(members);
  }

  @Override
  public void close() {
    loop.close();
  }

  /**
   * Accepts connections for independent sessions.
   *
   * @param what the name of the listener in log lines
   * @param sessions creates the session of a connection
   */
  record Acceptor(String what, Function<SocketChannel, NonBlockingConnection> sessions)
      implements EventLoop.ChannelHandler {
    @Override
    public void ready(SelectionKey key) throws IOException {
      ServerSocketChannel listener = (ServerSocketChannel) key.channel();
      for (SocketChannel next = listener.accept(); next != null; next = listener.accept()) {
        sessions.apply(next).start();
      }
    }

    @Override
    public void failed(IOException cause) {
      LOG.log(Level.WARNING, what + " cannot accept", cause);
    }
  }
}
