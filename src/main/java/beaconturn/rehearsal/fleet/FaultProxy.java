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
 * A proxy on loopback between two parties, with faults of a network: whoever connects to it is
 * connected on, and every byte passes here, or does not. While it is cut nothing passes and nothing
 * is notified, as on a network that loses every packet: open connections stay open and silent, and
 * new ones never come up.
 */
public final class FaultProxy implements Closeable {
  private static final int BACKLOG = 512;
  private static final int BACKLOG_FILLERS = 4;
  private static final int STACK_BYTES = 128 * 1024;
  private final InetSocketAddress target;
  private final InetSocketAddress address;

  /** While nothing listens the kernel gives the port to nobody else. */
  private final SocketChannel portHolder = LoopbackPorts.take(LoopbackPorts::hold);

  private final FaultGate gate = new FaultGate();
  private final Set<Socket> open = ConcurrentHashMap.newKeySet();

  // Guarded by this.
  private ServerSocket listener;
  private Thread acceptor;

  /** Own connections that fill the backlog of a listener that accepts nothing. */
  private final List<SocketChannel> fillers = new ArrayList<>();

  /** What the proxy does to what passes. */
  public enum State {
    /** Passes everything. */
    OPEN,
    /** Passes nothing, both ways. */
    CUT,
    /** Bytes go out and nothing comes back. */
    ONE_WAY,
    /** Everything passes so many nanoseconds later. */
    SLOW,
    /** Passes nothing until it is open again, and then all at once. */
    HELD,
    /** Passes so many bytes a second. */
    THROTTLED,
    /** A request arrives; its answer is lost, and the connection with it. */
    RESPONSE_LOST,
    /** Half of the next message passes, then the connection is reset. */
    RESETTING
  }

  /** A proxy to the target; it passes everything. */
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
   * Changes what the proxy does, also to connections that are open.
   *
   * @param amount nanoseconds of delay or bytes a second, as the state has it
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
          "the link at " + address + " cannot take its address again", e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void stopListening() throws InterruptedException {
    ProxyConnection.close(listener);
    fillers.forEach(ProxyConnection::close);
    fillers.clear();
    // Whoever still waits there holds the address.
    acceptor.join();
  }

  /**
   * Listens with a backlog that own connections fill: the kernel then drops whatever else comes.
   */
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
    return LoopbackPorts.again(
        address, at -> new ServerSocket(at.getPort(), backlog, at.getAddress()));
  }

  /** Starts a daemon thread with a small stack. */
  static Thread startThread(String name, Runnable body) {
    Thread thread = new Thread(null, body, name, STACK_BYTES);
    thread.setDaemon(true);
    thread.start();
    return thread;
  }

  private Thread startAcceptor(ServerSocket at) {
    return startThread("link", () -> accept(at));
  }

  private void accept(ServerSocket at) {
    try {
      while (true) {
        ProxyConnection connection = new ProxyConnection(at.accept(), gate, open);
        startThread("link-in", () -> connection.run(target));
      }
    } catch (IOException e) {
      // The proxy is cut or closed; what was accepted goes on as its state has it.
      return;
    }
  }

  /** Returns how many messages are held now. */
  int waiting() {
    return gate.waiting();
  }

  @Override
  public synchronized void close() {
    gate.close();
    ProxyConnection.close(listener);
    fillers.forEach(ProxyConnection::close);
    ProxyConnection.close(portHolder);
    open.forEach(ProxyConnection::close);
  }
}
