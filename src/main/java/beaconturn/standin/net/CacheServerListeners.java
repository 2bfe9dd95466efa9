package beaconturn.standin.net;

import beaconturn.standin.CacheServerModel;
import beaconturn.standin.EmulatedFleet;
import beaconturn.standin.FaultState;
import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.SelectionKey;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * The listening addresses of the cache servers: one for each cache server and router, so that the
 * history knows which router a connection belongs to. An address outlives the process behind it and
 * follows its state and faults: it listens, refuses or drops connections.
 */
final class CacheServerListeners {
  private static final Logger LOG = Logger.getLogger(CacheServerListeners.class.getName());
  private static final int BACKLOG = 512;

  /** The kernel accepts one connection more than this before it drops further ones. */
  private static final int FULL_BACKLOG = 1;

  private static final int BACKLOG_FILLERS = 4;

  /** Minimum time after a silence in which retransmitted input may arrive. */
  private static final long MIN_RETRANSMIT_NANOS = 1_000_000_000;

  private final EventLoop loop;
  private final EmulatedFleet fleet;
  private final List<Listener> listeners = new ArrayList<>();
  private long connectionCount;

  CacheServerListeners(EventLoop loop, EmulatedFleet fleet) {
    this.loop = loop;
    this.fleet = fleet;
  }

  /**
   * Opens the listeners of all cache servers.
   *
   * @param firstPort the first of consecutive ports, or 0 for any free ones
   */
  void open(int routers, int firstPort) throws IOException {
    for (int router = 0; router < routers; router++) {
      for (int server = 0; server < fleet.serverCount(); server++) {
        int port = firstPort == 0 ? 0 : firstPort + router * fleet.serverCount() + server;
        listeners.add(new Listener(server, router, port));
      }
    }
    fleet.onServerChange(
        server ->
            listeners.stream()
                .filter(listener -> listener.server == server)
                .forEach(Listener::followServer));
  }

  /** Returns the address at which a router reaches a cache server. */
  InetSocketAddress address(int router, int server) {
    return listeners.stream()
        .filter(listener -> listener.router == router && listener.server == server)
        .findFirst()
        .orElseThrow()
        .address;
  }

  static void close(Closeable channel) {
    try {
      channel.close();
    } catch (IOException e) {
      LOG.log(Level.FINE, "closing a channel failed", e);
    }
  }

  /** How an address treats new connections. */
  private enum State {
    LISTENS,
    REFUSES,
    SILENT
  }

  private final class Listener implements EventLoop.ChannelHandler {
    private final int server;
    private final int router;
    private final InetSocketAddress address;
    private final List<RespSession> sessions = new ArrayList<>();

    /** Channels that reserve the address or fill its backlog. */
    private final List<SocketChannel> holders = new ArrayList<>();

    private ServerSocketChannel channel;
    private State state = State.LISTENS;
    private boolean rebindScheduled;

    /**
     * Start and end of the last silence. A peer's kernel retransmits what it sent during the
     * silence, with doubling delays, so that old input may arrive long after the end.
     */
    private long silentFromNanos = Long.MIN_VALUE / 4;

    private long silentUntilNanos = Long.MIN_VALUE / 2;

    private Listener(int server, int router, int port) throws IOException {
      this.server = server;
      this.router = router;
      this.channel = loop.listen(new InetSocketAddress("127.0.0.1", port), BACKLOG, this);
      this.address = (InetSocketAddress) channel.getLocalAddress();
    }

    @Override
    public void ready(SelectionKey key) throws IOException {
      for (SocketChannel next = channel.accept(); next != null; next = channel.accept()) {
        RespSession session = new RespSession(loop, next, fleet, ++connectionCount);
        session.attach(fleet.server(server), router);
        if (loop.scheduler().now()
            <= silentUntilNanos
                + Math.max(MIN_RETRANSMIT_NANOS, 2 * (silentUntilNanos - silentFromNanos))) {
          session.setUnreadSince(silentFromNanos);
        }
        session.start();
        FaultState faults = fleet.server(server).faults();
        session.setMute(faults.mute());
        session.suspend(faults.unread(), faults.vanished());
        sessions.add(session);
        if (channel == null || !channel.isOpen()) {
          return;
        }
      }
    }

    @Override
    public void failed(IOException cause) {
      LOG.log(
          Level.WARNING,
          "stand-in cache server at " + address + " cannot accept: " + cause.getMessage());
    }

    /** Applies the current state and faults of the cache server. */
    private void followServer() {
      CacheServerModel model = fleet.server(server);
      FaultState faults = model.faults();
      sessions.removeIf(NonBlockingConnection::isClosed);
      for (RespSession session : sessions) {
        session.setMute(session.mute() && faults.mute());
        session.suspend(faults.unread(), faults.vanished());
      }
      State wanted =
          faults.vanished()
              ? State.SILENT
              : model.dead() || faults.refusing() ? State.REFUSES : State.LISTENS;
      if (wanted != state) {
        changeState(wanted);
      }
    }

    /** Changes the state in the next turn, since a closed listener keeps its address until then. */
    private void changeState(State wanted) {
      close(channel);
      holders.forEach(CacheServerListeners::close);
      holders.clear();
      silentUntilNanos = state == State.SILENT ? loop.scheduler().now() : silentUntilNanos;
      silentFromNanos = wanted == State.SILENT ? loop.scheduler().now() : silentFromNanos;
      state = wanted;
      if (!rebindScheduled) {
        rebindScheduled = true;
        loop.nextTurn(this::rebind);
      }
    }

    private void rebind() {
      rebindScheduled = false;
      try {
        switch (state) {
          case LISTENS ->
              channel = LoopbackPorts.rebind(address, own -> loop.listen(own, BACKLOG, this));
          case REFUSES -> holders.add(LoopbackPorts.rebind(address, LoopbackPorts::reserve));
          default -> dropConnections();
        }
      } catch (IOException e) {
        LOG.log(Level.WARNING, "stand-in cache server cannot listen on " + address + " again", e);
      }
    }

    /** Listens with a backlog that is full, so that the kernel drops all further connections. */
    private void dropConnections() throws IOException {
      channel = ServerSocketChannel.open();
      LoopbackPorts.rebind(address, own -> channel.bind(own, FULL_BACKLOG));
      for (int i = 0; i < BACKLOG_FILLERS; i++) {
        SocketChannel filler = SocketChannel.open();
        holders.add(filler);
        filler.configureBlocking(false);
        filler.connect(address);
      }
    }
  }
}
