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
 * may be called by any thread, all else by the thread that has the connection.
 */
final class CacheSocket {
  private static final Logger LOG = Logger.getLogger(CacheSocket.class.getName());

  /**
   * A whole request fits into the kernel's buffer, so that writing one to a silent peer never
   * blocks.
   */
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

  /** Whether a descriptor was ever opened for it. */
  boolean isOpened() {
    return channel != null;
  }

  /** Takes a descriptor; fails for want of one, or if the connection was closed already. */
  void open() throws IOException {
    channel = SocketChannel.open();
    if (closed) {
      // Whoever closed it found no channel to close: without this look the attempt that was given
      // up would be written all the same.
      throw new IOException("given up");
    }
    Socket socket = channel.socket();
    socket.setTcpNoDelay(true);
    socket.setSendBufferSize(SEND_BUFFER_BYTES);
  }

  /** Connects, waiting so long at most. */
  void connect(int timeoutMillis) throws IOException {
    socket().connect(address, timeoutMillis);
  }

  /** The open socket, in blocking mode. */
  Socket socket() {
    return channel.socket();
  }

  /**
   * Reads at most one byte without waiting: 0 if there is none yet, below 0 if the connection has
   * ended.
   */
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

  /** Ends the connection, and whatever is out on it; takes no lock that a writer holds. */
  void close() {
    closed = true;
    SocketChannel open = channel;
    if (open != null) {
      Sockets.close(open);
    }
  }

  /**
   * Ends the connection by a reset, and not by an orderly end: behind a network that was cut the
   * kernel would go on for minutes to deliver what it still holds, and a request given up long ago
   * would run then.
   */
  void reset() {
    SocketChannel open = channel;
    if (open != null) {
      try {
        open.setOption(StandardSocketOptions.SO_LINGER, 0);
      } catch (IOException e) {
        LOG.finer("connection to " + address + " has ended by itself: " + e.getMessage());
      }
    }
    close();
  }
}
