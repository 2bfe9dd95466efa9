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
 * The listening addresses of cache servers: one for each place and each router, so that the account
 * knows who speaks. An address outlives the process behind it; it listens, refuses, or says nothing
 * at all as the process and its condition have it.
 */
final class CacheServerListeners {
  private static final Logger LOG = Logger.getLogger(CacheServerListeners.class.getName());
  private static final int BACKLOG = 512;

  /** The kernel takes one more than it is told; then connections no longer come up. */
  private static final int FULL_BACKLOG = 1;

  private static final int FILLERS = 4;

  /** So long after silence at least what was sent before it may come up. */
  private static final long RESENT = 1_000_000_000;

  private final EventLoop loop;
  private final EmulatedFleet world;
  private final List<Door> doors = new ArrayList<>();
  private long connections;

  CacheServerListeners(EventLoop loop, EmulatedFleet world) {
    this.loop = loop;
    this.world = world;
  }

  /** Opens a door for each place and each of so many routers. */
  void open(int routers, int firstPort) throws IOException {
    for (int router = 0; router < routers; router++) {
      for (int place = 0; place < world.serverCount(); place++) {
        int port = firstPort == 0 ? 0 : firstPort + router * world.serverCount() + place;
        doors.add(new Door(place, router, port));
      }
    }
    world.onServerChange(
        place -> doors.stream().filter(door -> door.place == place).forEach(Door::follow));
  }

  /** Where a router connects for a place. */
  InetSocketAddress address(int router, int place) {
    return doors.stream()
        .filter(door -> door.router == router && door.place == place)
        .findFirst()
        .orElseThrow()
        .address;
  }

  static void close(Closeable channel) {
    try {
      channel.close();
    } catch (IOException e) {
      LOG.log(Level.FINE, "closing", e);
    }
  }

  /** What an address does. */
  private enum State {
    LISTENS,
    REFUSES,
    SILENT
  }

  private final class Door implements EventLoop.ChannelHandler {
    private final int place;
    private final int router;
    private final InetSocketAddress address;
    private final List<RespSession> sessions = new ArrayList<>();
    private final List<SocketChannel> holders = new ArrayList<>();
    private ServerSocketChannel listener;
    private State state = State.LISTENS;
    private boolean moving;

    /**
     * From when to when it was silent: what the kernel of a peer took for a connection meanwhile it
     * sends again and again, at twice the distance each time, and that comes up after it.
     */
    private long silentFrom = Long.MIN_VALUE / 4;

    private long silentUntil = Long.MIN_VALUE / 2;

    private Door(int place, int router, int port) throws IOException {
      this.place = place;
      this.router = router;
      this.listener = loop.listen(new InetSocketAddress("127.0.0.1", port), BACKLOG, this);
      this.address = (InetSocketAddress) listener.getLocalAddress();
    }

    @Override
    public void ready(SelectionKey key) throws IOException {
      for (SocketChannel next = listener.accept(); next != null; next = listener.accept()) {
        RespSession session = new RespSession(loop, next, world, ++connections);
        session.attach(world.server(place), router);
        if (loop.scheduler().now() <= silentUntil + Math.max(RESENT, 2 * (silentUntil - silentFrom))) {
          session.sentSince(silentFrom);
        }
        session.begin();
        FaultState condition = world.server(place).faults();
        session.mute(condition.mute());
        session.hear(condition.unread(), condition.vanished());
        sessions.add(session);
        if (listener == null || !listener.isOpen()) {
          return;
        }
      }
    }

    @Override
    public void failed(IOException cause) {
      LOG.log(Level.WARNING, "stand-in at " + address + " cannot accept: " + cause.getMessage());
    }

    /** Goes along with the process and its condition. */
    private void follow() {
      CacheServerModel cache = world.server(place);
      FaultState condition = cache.faults();
      sessions.removeIf(NonBlockingConnection::ended);
      for (RespSession session : sessions) {
        session.mute(session.muted() && condition.mute());
        session.hear(condition.unread(), condition.vanished());
      }
      State wanted =
          condition.vanished()
              ? State.SILENT
              : cache.dead() || condition.refusing() ? State.REFUSES : State.LISTENS;
      if (wanted != state) {
        move(wanted);
      }
    }

    /**
     * A listener that is closed keeps its address to the end of the turn; what follows it waits for
     * that.
     */
    private void move(State wanted) {
      close(listener);
      holders.forEach(CacheServerListeners::close);
      holders.clear();
      silentUntil = state == State.SILENT ? loop.scheduler().now() : silentUntil;
      silentFrom = wanted == State.SILENT ? loop.scheduler().now() : silentFrom;
      state = wanted;
      if (!moving) {
        moving = true;
        loop.nextTurn(this::take);
      }
    }

    private void take() {
      moving = false;
      try {
        switch (state) {
          case LISTENS ->
              listener = LoopbackPorts.rebind(address, at -> loop.listen(at, BACKLOG, this));
          case REFUSES -> holders.add(LoopbackPorts.rebind(address, LoopbackPorts::reserve));
          default -> silence();
        }
      } catch (IOException e) {
        LOG.log(Level.WARNING, "stand-in cannot take its address " + address + " again", e);
      }
    }

    /**
     * Listens with a queue that own connections fill: the kernel then drops whatever else comes.
     */
    private void silence() throws IOException {
      listener = ServerSocketChannel.open();
      LoopbackPorts.rebind(address, at -> listener.bind(at, FULL_BACKLOG));
      for (int i = 0; i < FILLERS; i++) {
        SocketChannel filler = SocketChannel.open();
        holders.add(filler);
        filler.configureBlocking(false);
        filler.connect(address);
      }
    }
  }
}
