package beaconturn.net.io;

import beaconturn.protocol.InputBuffer;
import beaconturn.protocol.Slice;
import java.io.BufferedOutputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.util.List;

/** Reads and writes that all connections share. Any thread may call. */
public final class Sockets {
  private static final int WRITE_BUFFER_BYTES = 2048;

  /** Each thread keeps a buffer outside the heap as large as its largest read or write. */
  public static final int MAX_TRANSFER_BYTES = 8 * 1024;

  private Sockets() {}

  /** Reads what is there, waiting for the first byte; false at the end of the stream. */
  public static boolean read(InputStream from, InputBuffer into) throws IOException {
    int room = Math.min(MAX_TRANSFER_BYTES, into.ensureRoom());
    int bytes = from.read(into.array(), into.end(), room);
    if (bytes < 0) {
      return false;
    }
    into.filled(bytes);
    return true;
  }

  /** Writes small pieces as one, so that a message of many of them is one packet. */
  public static void write(OutputStream to, List<Slice> pieces) throws IOException {
    BufferedOutputStream out = new BufferedOutputStream(to, WRITE_BUFFER_BYTES);
    for (Slice piece : pieces) {
      for (int written = 0; written < piece.length(); written += MAX_TRANSFER_BYTES) {
        int length = Math.min(MAX_TRANSFER_BYTES, piece.length() - written);
        out.write(piece.array(), piece.from() + written, length);
      }
    }
    out.flush();
  }

  /** Writes as much as the peer takes without waiting; true once all is written. */
  public static boolean writeSome(SocketChannel to, ByteBuffer bytes) throws IOException {
    int end = bytes.limit();
    int written = 1;
    while (bytes.position() < end && written > 0) {
      bytes.limit(Math.min(end, bytes.position() + MAX_TRANSFER_BYTES));
      written = to.write(bytes);
      bytes.limit(end);
    }
    return bytes.position() == end;
  }

  /** Closes without waiting; a socket that is closed already stays so. */
  public static void close(Closeable socket) {
    try {
      socket.close();
    } catch (IOException e) {
      // There is nothing left to do with a socket that fails to close.
      return;
    }
  }

  /**
   * The address that a text names as host:port, without asking any name service.
   *
   * @throws IllegalArgumentException if the text is none
   */
  public static InetSocketAddress address(String text) {
    int colon = text.lastIndexOf(':');
    if (colon <= 0
        || !text.substring(colon + 1).matches("[0-9]{1,5}")
        || !text.substring(0, colon).matches("[0-9.]+|\\[[0-9a-fA-F:.]+]")) {
      throw new IllegalArgumentException("not an address and port: '" + text + "'");
    }
    return new InetSocketAddress(
        text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
  }
}
