package beaconturn.net.control;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;

/** The one line that a caller sends, in whatever pieces it comes. */
final class LineReader {
  private static final int LONGEST = 512;
  private static final int MOST_DRAINED = 16;
  private final ByteBuffer bytes = ByteBuffer.allocate(LONGEST);

  /** The line once it is whole, which the caller's end of sending makes it too; else null. */
  String read(SocketChannel from) throws IOException, AdminCommand.Wrong {
    int got = from.read(bytes);
    for (int i = 0; i < bytes.position(); i++) {
      if (bytes.get(i) == '\n') {
        return text(i);
      }
    }
    if (!bytes.hasRemaining()) {
      throw new AdminCommand.Wrong("the call is too long");
    }
    if (got < 0 && bytes.position() == 0) {
      throw new IOException("ended without a call");
    }
    return got < 0 ? text(bytes.position()) : null;
  }

  private String text(int length) {
    return new String(bytes.array(), 0, length, StandardCharsets.ISO_8859_1);
  }

  /**
   * Reads what is there without looking: closing over unread bytes would reset the answer on its
   * way.
   */
  void drain(SocketChannel from) throws IOException {
    for (int i = 0; i < MOST_DRAINED; i++) {
      bytes.clear();
      if (from.read(bytes) <= 0) {
        return;
      }
    }
  }
}
