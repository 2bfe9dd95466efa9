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

/** Reads and writes shared by all connections. For any thread. */
public final class Sockets {
  private static final int WRITE_BUFFER_BYTES = 2048;

  /**
   * Limits the direct buffer that the JDK caches for each thread, which is as large as its largest
   * transfer.
   */
  public static final int MAX_TRANSFER_BYTES = 8 * 1024;

  private Sockets() {}

  /** Reads the available bytes, blocking for the first; false at the end of the stream. */
  public static boolean read(InputStream from, InputBuffer into) throws IOException {
    int room = Math.min(MAX_TRANSFER_BYTES, into.ensureRoom());
    int bytes = from.read(into.array(), into.end(), room);
    if (bytes < 0) {
      return false;
    }
    into.filled(bytes);
    return true;
  }

  /** Writes small chunks together, so that a message of many chunks is one packet. */
  public static void write(OutputStream to, List<Slice> chunks) throws IOException {
    BufferedOutputStream out = new BufferedOutputStream(to, WRITE_BUFFER_BYTES);
    for (Slice chunk : chunks) {
      for (int written = 0; written < chunk.length(); written += MAX_TRANSFER_BYTES) {
        int length = Math.min(MAX_TRANSFER_BYTES, chunk.length() - written);
        out.write(chunk.array(), chunk.from() + written, length);
      }
    }
    out.flush();
  }

  /** Writes as much as the socket accepts without blocking; true once all is written. */
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

  /** Closes a socket, ignoring errors; a closed socket stays closed. */
  public static void close(Closeable socket) {
    try {
      socket.close();
    } catch (IOException e) {
      // Nothing can be done about a socket that fails to close.
      return;
    }
  }

  /**
   * Parses an address of the form host:port without a name lookup.
   *
   * @throws IllegalArgumentException if the text is not such an address
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
