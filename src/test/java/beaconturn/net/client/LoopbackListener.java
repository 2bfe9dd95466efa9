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

  private final ServerSocketChannel server;

  LoopbackListener() throws IOException {
    server =
        ServerSocketChannel.open().bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
  }

  /** Connects a client and passes the accepted, non-blocking channel to the callback. */
  TestPeer.Connection connect(Consumer<SocketChannel> onAccepted) throws IOException {
    Socket socket = new Socket(InetAddress.getLoopbackAddress(), server.socket().getLocalPort());
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
