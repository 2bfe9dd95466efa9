package beaconturn.rehearsal.fleet;

import beaconturn.standin.net.LoopbackPorts;
import java.io.Closeable;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A TCP proxy on loopback that injects network faults between two parties. While it is cut it acts
 * as a network that loses every packet: open connections stay open without traffic, and new
 * connections are not established.
 */
public final class FaultProxy implements Closeable {
  private static final int BACKLOG = 512;
  private static final int BACKLOG_FILLERS = 4;
  private static final int STACK_BYTES = 128 * 1024;
  private final InetSocketAddress target;
  private final InetSocketAddress address;

  /** Keeps the port reserved while nothing listens on it. */
  private final SocketChannel portHolder = LoopbackPorts.bindFree(LoopbackPorts::reserve);

  private final FaultGate gate = new FaultGate();
  private final Set<Socket> openSockets = ConcurrentHashMap.newKeySet();

  // Guarded by this.
  private ServerSocket listener;
  private Thread acceptor;

  /** Connections that fill the backlog of a listener that accepts nothing. */
  private final List<SocketChannel> fillers = new ArrayList<>();

  /** What the proxy does with the bytes that it receives. */
  public enum State {
    /** Forwards everything. */
    OPEN,
    /** Forwards nothing in either direction. */
    CUT,
    /** Forwards towards the target only. */
    ONE_WAY,
    /** Forwards everything after a delay in nanoseconds. */
    SLOW,
    /** Forwards nothing until it is open again, then everything at once. */
    HELD,
    /** Forwards at a rate in bytes per second. */
    THROTTLED,
    /** Forwards requests; drops the next response and resets the connection. */
    RESPONSE_LOST,
    /** Forwards half of the next message, then resets the connection. */
    RESETTING
  }

  /** Creates a proxy to the target that forwards everything. */
  public FaultProxy(InetSocketAddress target) throws IOException {
    this.target = target;
    this.address = (InetSocketAddress) portHolder.getLocalAddress();
    this.listener = new ServerSocket(address.getPort(), BACKLOG, address.getAddress());
    this.acceptor = startAcceptor(listener);
  }

  /** Returns the address to connect to. */
  public InetSocketAddress address() {
    return address;
  }

  /**
   * Changes the state, also for open connections.
   *
   * @param amount nanoseconds of delay or bytes per second, depending on the state
   */
  public synchronized void setState(State next, long amount) {
    boolean wasCut = gate.state() == State.CUT;
    gate.setState(next, amount);
    if (gate.isClosed() || wasCut == (next == State.CUT)) {
      return;
    }
    try {
      stopListening();
      if (wasCut) {
        listener = listen(BACKLOG);
        acceptor = startAcceptor(listener);
      } else {
        listenSilently();
      }
    } catch (IOException e) {
      throw new UncheckedIOException(
          "the link at " + address + " cannot listen on its address again", e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void stopListening() throws InterruptedException {
    ProxyConnection.close(listener);
    fillers.forEach(ProxyConnection::close);
    fillers.clear();
    // A thread that still waits in accept() holds the address.
    acceptor.join();
  }

  /** Listens with a backlog that is full, so that the kernel drops every other connection. */
  private void listenSilently() throws IOException {
    listener = listen(1);
    for (int i = 0; i < BACKLOG_FILLERS; i++) {
      SocketChannel filler = SocketChannel.open();
      fillers.add(filler);
      filler.configureBlocking(false);
      filler.connect(address);
    }
  }

  private ServerSocket listen(int backlog) throws IOException {
    return LoopbackPorts.rebind(
        address,
        localAddress ->
            new ServerSocket(localAddress.getPort(), backlog, localAddress.getAddress()));
  }

  /** Starts a daemon thread with a small stack. */
  static Thread startThread(String name, Runnable body) {
    Thread thread = new Thread(null, body, name, STACK_BYTES);
    thread.setDaemon(true);
    thread.start();
    return thread;
  }

  private Thread startAcceptor(ServerSocket serverSocket) {
    return startThread("link", () -> accept(serverSocket));
  }

  private void accept(ServerSocket serverSocket) {
    try {
      while (true) {
        ProxyConnection connection = new ProxyConnection(serverSocket.accept(), gate, openSockets);
        startThread("link-in", () -> connection.run(target));
      }
    } catch (IOException e) {
      // The proxy was cut or closed; accepted connections continue as the state allows.
      return;
    }
  }

  /** Returns how many connections wait for the proxy to forward again. */
  int heldCount() {
    return gate.heldCount();
  }

  @Override
  public synchronized void close() {
    gate.close();
    ProxyConnection.close(listener);
    fillers.forEach(ProxyConnection::close);
    ProxyConnection.close(portHolder);
    openSockets.forEach(ProxyConnection::close);
  }
}
