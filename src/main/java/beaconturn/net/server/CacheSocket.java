package beaconturn.net.server;

import beaconturn.net.io.Sockets;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.util.logging.Logger;

/**
 * The socket of one connection to a cache server. Opened once; {@link #close} and {@link #reset}
 * may be called by any thread, other methods by the thread that owns the connection.
 */
final class CacheSocket {
  private static final Logger LOG = Logger.getLogger(CacheSocket.class.getName());

  /** Holds a complete request, so that writing one to an unresponsive peer does not block. */
  private static final int SEND_BUFFER_BYTES = 128 * 1024;

  private final InetSocketAddress address;
  private volatile SocketChannel channel;
  private volatile boolean closed;

  CacheSocket(InetSocketAddress address) {
    this.address = address;
  }

  InetSocketAddress address() {
    return address;
  }

  /** Whether the socket was ever opened. */
  boolean isOpened() {
    return channel != null;
  }

  /** Opens a descriptor; fails if none is available or the connection is already closed. */
  void open() throws IOException {
    channel = SocketChannel.open();
    if (closed) {
      // A concurrent close found no channel; without this check an aborted attempt would still be
      // written.
      throw new IOException("connection closed before it was opened");
    }
    Socket socket = channel.socket();
    socket.setTcpNoDelay(true);
    socket.setSendBufferSize(SEND_BUFFER_BYTES);
  }

  void connect(int timeoutMillis) throws IOException {
    socket().connect(address, timeoutMillis);
  }

  /** The open socket, in blocking mode. */
  Socket socket() {
    return channel.socket();
  }

  /** Reads at most one byte without waiting: 0 if none is available, negative if closed. */
  int readWithoutWaiting() {
    try {
      channel.configureBlocking(false);
      int count = channel.read(ByteBuffer.allocate(1));
      channel.configureBlocking(true);
      return count;
    } catch (IOException e) {
      return -1;
    }
  }

  /** Closes the connection without taking a lock that a writer may hold. */
  void close() {
    closed = true;
    SocketChannel open = channel;
    if (open != null) {
      Sockets.close(open);
    }
  }

  /**
   * Closes the connection by a TCP reset instead of a FIN: across a network partition the kernel
   * would keep retransmitting buffered data for minutes, and the server could run a request long
   * after it was aborted.
   */
  void reset() {
    SocketChannel open = channel;
    if (open != null) {
      try {
        open.setOption(StandardSocketOptions.SO_LINGER, 0);
      } catch (IOException e) {
        LOG.finer("connection to " + address + " is already closed: " + e.getMessage());
      }
    }
    close();
  }
}
