package beaconturn.net.control;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;

/** Reads the single line of a connection, in any number of pieces. Not thread-safe. */
final class LineReader {
  private static final int MAX_LINE_BYTES = 512;
  private static final int MAX_DRAIN_READS = 16;

  private final ByteBuffer bytes = ByteBuffer.allocate(MAX_LINE_BYTES);

  /**
   * Returns the line once it is terminated by a newline or the end of input, else null.
   *
   * @throws InvalidAdminCommandException if the line is too long
   * @throws IOException if the input ends before its first byte, or the connection fails
   */
  String read(SocketChannel from) throws IOException, InvalidAdminCommandException {
    int count = from.read(bytes);
    for (int i = 0; i < bytes.position(); i++) {
      if (bytes.get(i) == '\n') {
        return text(i);
      }
    }
    if (!bytes.hasRemaining()) {
      throw new InvalidAdminCommandException("the call is too long");
    }
    boolean ended = count < 0;
    if (ended && bytes.position() == 0) {
      throw new IOException("admin address: connection closed before a command was received");
    }
    return ended ? text(bytes.position()) : null;
  }

  private String text(int length) {
    return new String(bytes.array(), 0, length, StandardCharsets.ISO_8859_1);
  }

  /**
   * Reads and discards pending input. Closing a socket with unread input resets the connection, and
   * the caller would lose the response.
   */
  void drain(SocketChannel from) throws IOException {
    for (int i = 0; i < MAX_DRAIN_READS; i++) {
      bytes.clear();
      if (from.read(bytes) <= 0) {
        return;
      }
    }
  }
}
