package beaconturn.net.control;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;

/** Reads the one line that a caller sends, in whatever pieces it comes; for one thread. */
final class LineReader {
  private static final int LONGEST_LINE_BYTES = 512;
  private static final int MOST_READS_TO_DRAIN = 16;

  private final ByteBuffer bytes = ByteBuffer.allocate(LONGEST_LINE_BYTES);

  /**
   * The line once it is whole, which the caller's end of sending makes it too; else null.
   *
   * @throws InvalidAdminCommandException if the line is too long
   * @throws IOException if the caller ends before it has sent anything, or the connection fails
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
      throw new IOException("ended without a call");
    }
    return ended ? text(bytes.position()) : null;
  }

  private String text(int length) {
    return new String(bytes.array(), 0, length, StandardCharsets.ISO_8859_1);
  }

  /**
   * Reads and drops what is there. The failure guarded against: closing over unread bytes resets
   * the connection, and the caller never gets the answer that is on its way.
   */
  void drain(SocketChannel from) throws IOException {
    for (int i = 0; i < MOST_READS_TO_DRAIN; i++) {
      bytes.clear();
      if (from.read(bytes) <= 0) {
        return;
      }
    }
  }
}
