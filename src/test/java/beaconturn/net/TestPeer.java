package beaconturn.net;

import static org.junit.jupiter.api.Assertions.assertEquals;

import beaconturn.net.io.Sockets;
import beaconturn.net.io.Threads;
import beaconturn.protocol.InputBuffer;
import beaconturn.protocol.ProtocolException;
import beaconturn.protocol.RespReader;
import beaconturn.protocol.RespValue;
import java.io.Closeable;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.Callable;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/** A scripted server on an ephemeral loopback port. */
public final class TestPeer implements Closeable {
  private static final int TIMEOUT_SECONDS = 20;

  /** Serves one connection on its own thread; the connection is closed when it returns. */
  public interface Script {
    void serve(Connection connection) throws IOException, ProtocolException, InterruptedException;
  }

  private final ServerSocket server;
  private final Script script;
  private final Queue<Socket> sockets = new ConcurrentLinkedQueue<>();
  private final BlockingQueue<String> notes = new LinkedBlockingQueue<>();

  public TestPeer(Script script) {
    this.script = script;
    try {
      this.server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    Threads.start("test-peer", this::accept);
  }

  /** Waits for the latch without throwing a checked exception. */
  public static void await(CountDownLatch latch) {
    try {
      latch.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Waits until the condition holds. */
  public static void until(Callable<Boolean> done) throws Exception {
    while (!done.call()) {
      if (Thread.interrupted()) {
        throw new InterruptedException("waited in vain");
      }
      Thread.onSpinWait();
    }
  }

  public InetSocketAddress address() {
    return new InetSocketAddress(server.getInetAddress(), server.getLocalPort());
  }

  public String dialAddress() {
    return "127.0.0.1:" + server.getLocalPort();
  }

  /** Returns the next note of a script; fails if there is none in time. */
  public String note() throws InterruptedException {
    String note = notes.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    if (note == null) {
      throw new AssertionError("the peer saw nothing");
    }
    return note;
  }

  public List<String> remainingNotes() {
    return List.copyOf(notes);
  }

  public int connections() {
    return sockets.size();
  }

  @Override
  public void close() {
    Sockets.close(server);
    sockets.forEach(Sockets::close);
  }

  private void accept() {
    try {
      while (true) {
        Socket socket = server.accept();
        socket.setTcpNoDelay(true);
        sockets.add(socket);
        boolean first = sockets.size() == 1;
        Threads.start("test-line", () -> run(socket, first));
      }
    } catch (IOException e) {
      notes.add("closed");
    }
  }

  private void run(Socket socket, boolean first) {
    try {
      script.serve(new Connection(socket, notes, first));
    } catch (IOException | ProtocolException e) {
      notes.add("broken");
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } finally {
      Sockets.close(socket);
    }
  }

  /** One connection, from the client or the server side. */
  public static final class Connection implements Closeable {
    private final Socket socket;
    private final BlockingQueue<String> notes;
    private final boolean first;
    private final InputBuffer in = new InputBuffer();
    private final RespReader reader = new RespReader(1 << 16);

    public Connection(Socket socket, BlockingQueue<String> notes) {
      this(socket, notes, true);
    }

    private Connection(Socket socket, BlockingQueue<String> notes, boolean first) {
      this.socket = socket;
      this.notes = notes;
      this.first = first;
    }

    /** Whether this is the first connection to its peer. */
    public boolean isFirst() {
      return first;
    }

    public static Connection to(InetSocketAddress address) throws IOException {
      Socket socket = new Socket(address.getAddress(), address.getPort());
      socket.setTcpNoDelay(true);
      socket.setSoTimeout(TIMEOUT_SECONDS * 1000);
      return new Connection(socket, new LinkedBlockingQueue<>());
    }

    public void note(String text) {
      notes.add(text);
    }

    public void write(String text) throws IOException {
      socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    /** The next value, or null at the end of the stream. */
    RespValue read() throws IOException, ProtocolException {
      RespValue value = reader.next(in);
      while (value == null) {
        if (!Sockets.read(socket.getInputStream(), in)) {
          return null;
        }
        value = reader.next(in);
      }
      return value;
    }

    /** Shuts down the output; the input stays open. */
    public void shutdownOutput() throws IOException {
      socket.shutdownOutput();
    }

    /** Whether the peer has closed the connection; waits briefly for it. */
    public boolean isClosedByPeer() throws IOException {
      socket.setSoTimeout(1);
      try {
        return socket.getInputStream().read() < 0;
      } catch (SocketTimeoutException e) {
        return false;
      }
    }

    /** Reads everything until the peer closes the connection. */
    public String readRemaining() throws IOException {
      return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
    }

    /** Reads that many bytes. */
    public String readBytes(int count) throws IOException {
      byte[] bytes = new byte[count];
      new DataInputStream(socket.getInputStream()).readFully(bytes);
      return new String(bytes, StandardCharsets.ISO_8859_1);
    }

    /** Reads as many bytes as the text has and asserts that they are equal to it. */
    void expectBytes(String text) throws IOException {
      assertEquals(text, readBytes(text.length()));
    }

    /** The arguments of the next command joined by blanks, or "end". */
    public String readCommand() throws IOException, ProtocolException {
      RespValue value = read();
      if (value == null) {
        return "end";
      }
      return String.join(
          " ",
          ((RespValue.Array) value)
              .items().stream().map(item -> ((RespValue.Bulk) item).bytes().toString()).toList());
    }

    /** The bytes of the next response without the last line end, or "end". */
    public String readResponse() throws IOException, ProtocolException {
      RespValue value = read();
      return value == null ? "end" : value.frame().toString().trim();
    }

    /** The head of an HTTP request, or an empty string at the end of the stream. */
    public String readHttpHead() throws IOException {
      StringBuilder head = new StringBuilder();
      while (head.indexOf("\r\n\r\n") < 0) {
        int c = socket.getInputStream().read();
        if (c < 0) {
          return "";
        }
        head.append((char) c);
      }
      return head.toString();
    }

    public void writeHttpResponse(int status, String body) throws IOException {
      write("HTTP/1.1 " + status + " x\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
    }

    /** Closes the connection with a reset, as a killed process does. */
    public void reset() throws IOException {
      socket.setSoLinger(true, 0);
      socket.close();
    }

    public void disconnect() {
      Sockets.close(socket);
    }

    @Override
    public void close() {
      disconnect();
    }
  }
}
