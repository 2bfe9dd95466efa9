package beaconturn.net.client;

import beaconturn.net.TestPeer;
import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.function.Consumer;

/** Opens connections over loopback whose accepted side the test puts into service itself. */
final class LoopbackListener implements Closeable {
  private static final int CLIENT_TIMEOUT_MILLIS = 20_000;
  private static final int SMALL_RECEIVE_BUFFER_BYTES = 16 * 1024;

  private final ServerSocketChannel server;

  LoopbackListener() throws IOException {
    server =
        ServerSocketChannel.open().bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
  }

  /** Connects a client and passes the accepted, non-blocking channel to the callback. */
  TestPeer.Connection connect(Consumer<SocketChannel> onAccepted) throws IOException {
    return connect(new Socket(), onAccepted);
  }

  /** Connects a client whose system accepts few bytes that the client has not read. */
  TestPeer.Connection connectWithSmallReceiveBuffer(Consumer<SocketChannel> onAccepted)
      throws IOException {
    Socket socket = new Socket();
    socket.setReceiveBufferSize(SMALL_RECEIVE_BUFFER_BYTES);
    return connect(socket, onAccepted);
  }

  private TestPeer.Connection connect(Socket socket, Consumer<SocketChannel> onAccepted)
      throws IOException {
    socket.connect(server.getLocalAddress());
    socket.setSoTimeout(CLIENT_TIMEOUT_MILLIS);
    SocketChannel accepted = server.accept();
    accepted.configureBlocking(false);
    onAccepted.accept(accepted);
    return new TestPeer.Connection(socket, new LinkedBlockingQueue<>());
  }

  @Override
  public void close() throws IOException {
    server.close();
  }
}
