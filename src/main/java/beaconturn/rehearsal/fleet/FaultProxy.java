package beaconturn.rehearsal.fleet;

import beaconturn.standin.net.LoopbackPorts;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A way between two parties, on loopback: whoever connects to it is connected on, and every byte
 * passes here, or does not. While it is cut nothing passes and nothing is told, as on a network
 * that loses every packet: open connections stay open and silent, and new ones never come up.
 */
public final class FaultProxy implements Closeable {
  private static final int CHUNK = 8192;
  private static final int BACKLOG = 512;
  private static final int FILLERS = 4;
  private static final int FORGOTTEN = -1;
  private static final int STILL_HELD = -2;
  private static final long MILLI = 1_000_000;
  private static final int STACK = 128 * 1024;
  private static final int CONNECT_MILLIS = 10_000;
  private final InetSocketAddress to;
  private final InetSocketAddress address;

  /** While the door is shut the kernel gives the port to nobody else. */
  private final SocketChannel holder = LoopbackPorts.take(LoopbackPorts::hold);

  private final Set<Socket> open = ConcurrentHashMap.newKeySet();
  // Guarded by this:
  private ServerSocket door;
  private Thread accepting;

  /** Connections of the link's own that fill the queue of a door that nobody opens. */
  private final List<SocketChannel> fillers = new ArrayList<>();

  private State state = State.OPEN;
  private long amount;
  private boolean closed;
  private int waiting;

  /** What the link does to what passes. */
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
    /** What is asked arrives; its answer is lost, and the connection with it. */
    ANSWER_LOST,
    /** Half of the next message passes, then the connection is reset. */
    RESETTING
  }

  /** A link to there; it passes everything. */
  public FaultProxy(InetSocketAddress to) throws IOException {
    this.to = to;
    this.address = (InetSocketAddress) holder.getLocalAddress();
    this.door = new ServerSocket(address.getPort(), BACKLOG, address.getAddress());
    this.accepting = accepting(door);
  }

  /** Where to connect to. */
  public InetSocketAddress address() {
    return address;
  }

  /** Changes what the link does, also to connections that are open. */
  public synchronized void become(State next, long howMuch) {
    boolean wasCut = state == State.CUT;
    state = next;
    amount = howMuch;
    notifyAll();
    if (closed || wasCut == (next == State.CUT)) {
      return;
    }
    try {
      close(door);
      fillers.forEach(FaultProxy::close);
      fillers.clear();
      // Whoever still waits there holds the address.
      accepting.join();
      if (wasCut) {
        door = listening(BACKLOG);
        accepting = accepting(door);
      } else {
        silence();
      }
    } catch (IOException e) {
      throw new UncheckedIOException(
          "the link at " + address + " cannot take its address again", e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Listens with a queue that own connections fill: the kernel then drops whatever else comes. */
  private void silence() throws IOException {
    door = listening(1);
    for (int i = 0; i < FILLERS; i++) {
      SocketChannel filler = SocketChannel.open();
      fillers.add(filler);
      filler.configureBlocking(false);
      filler.connect(address);
    }
  }

  private ServerSocket listening(int backlog) throws IOException {
    return LoopbackPorts.again(
        address, at -> new ServerSocket(at.getPort(), backlog, at.getAddress()));
  }

  private static Thread thread(String name, Runnable body) {
    Thread thread = new Thread(null, body, name, STACK);
    thread.setDaemon(true);
    thread.start();
    return thread;
  }

  private Thread accepting(ServerSocket at) {
    return thread("link", () -> accept(at));
  }

  private void accept(ServerSocket at) {
    try {
      while (true) {
        Socket from = at.accept();
        thread("link-in", () -> connect(from));
      }
    } catch (IOException e) {
      // The link is cut or closed; what was accepted goes on as its state has it.
      return;
    }
  }

  private void connect(Socket from) {
    Socket on = new Socket();
    open.add(from);
    open.add(on);
    try {
      from.setTcpNoDelay(true);
      on.setTcpNoDelay(true);
      if (!passes(true)) {
        end(from, on);
        return;
      }
      on.connect(to, CONNECT_MILLIS);
      thread("link-back", () -> pump(on, from, false));
      pump(from, on, true);
    } catch (IOException | InterruptedException e) {
      end(from, on);
    }
  }

  private void pump(Socket from, Socket into, boolean out) {
    byte[] bytes = new byte[CHUNK];
    try {
      InputStream in = from.getInputStream();
      OutputStream next = into.getOutputStream();
      for (int got = in.read(bytes); got >= 0; got = in.read(bytes)) {
        int passing = pass(got, out);
        // What was held is looked at again: its sender may have reset the connection meanwhile.
        while (passing == STILL_HELD && passes(out)) {
          got = catchUp(from, bytes, got);
          passing = got < 0 ? FORGOTTEN : pass(got, out);
        }
        if (passing > 0 && out && delays()) {
          got = catchUp(from, bytes, got);
          passing = got < 0 ? FORGOTTEN : got;
        }
        if (passing < 0) {
          // The sender's kernel forgets what it could not deliver when it resets a connection.
          reset(into);
          end(from, into);
          return;
        }
        next.write(bytes, 0, passing);
        if (passing < got) {
          reset(from);
          reset(into);
          return;
        }
      }
      if (passes(out)) {
        into.shutdownOutput();
      }
      if (!out) {
        end(from, into);
      }
    } catch (IOException e) {
      ended(from, into, out);
    } catch (InterruptedException e) {
      end(from, into);
    }
  }

  /** The end of a connection is heard behind a cut when the cut is over. */
  private void ended(Socket from, Socket into, boolean out) {
    try {
      passes(out);
      reset(into);
    } catch (IOException | InterruptedException e) {
      // It has ended by itself meanwhile.
      close(into);
    }
    end(from, into);
  }

  /**
   * Takes in what came while the link held the first bytes: how much there is now, or -1 after a
   * reset.
   */
  private static int catchUp(Socket from, byte[] bytes, int held) throws IOException {
    int got = held;
    from.setSoTimeout(1);
    try {
      for (int more = 0; more >= 0 && got < bytes.length; got += Math.max(0, more)) {
        more = from.getInputStream().read(bytes, got, bytes.length - got);
      }
      return got;
    } catch (SocketTimeoutException e) {
      return got;
    } catch (IOException e) {
      return -1;
    } finally {
      from.setSoTimeout(0);
    }
  }

  private synchronized boolean passesNow(boolean out) {
    return state != State.CUT && state != State.HELD && (state != State.ONE_WAY || out);
  }

  /** Whether what passes was on its way for a while, in which its sender may have given it up. */
  private synchronized boolean delays() {
    return state == State.SLOW;
  }

  /**
   * How much of what was read passes now, or that it is held; less than all ends the connection.
   */
  private int pass(int got, boolean out) throws InterruptedException {
    State now;
    long much;
    synchronized (this) {
      if (closed) {
        return FORGOTTEN;
      }
      if (!passesNow(out)) {
        return STILL_HELD;
      }
      now = state;
      much = amount;
    }
    switch (now) {
      case SLOW -> Thread.sleep(much / MILLI);
      case THROTTLED -> Thread.sleep(got * 1000L / Math.max(1, much));
      case ANSWER_LOST -> {
        return out ? got : 0;
      }
      case RESETTING -> {
        return got / 2;
      }
      default -> {
        return got;
      }
    }
    return got;
  }

  /** Waits while nothing may pass that way; false once the link is closed. */
  private synchronized boolean passes(boolean out) throws InterruptedException {
    waiting++;
    try {
      while (!closed && !passesNow(out)) {
        wait();
      }
      return !closed;
    } finally {
      waiting--;
    }
  }

  /** How many messages are held now. */
  synchronized int waiting() {
    return waiting;
  }

  private void end(Socket one, Socket other) {
    open.remove(one);
    open.remove(other);
    close(one);
    close(other);
  }

  private static void reset(Socket socket) throws IOException {
    socket.setSoLinger(true, 0);
    socket.close();
  }

  private static void close(Closeable socket) {
    try {
      socket.close();
    } catch (IOException e) {
      // Nothing is left to do with a socket that fails to close.
      return;
    }
  }

  private synchronized void shut() {
    closed = true;
    notifyAll();
  }

  @Override
  public synchronized void close() {
    shut();
    close(door);
    fillers.forEach(FaultProxy::close);
    close(holder);
    open.forEach(FaultProxy::close);
  }
}
