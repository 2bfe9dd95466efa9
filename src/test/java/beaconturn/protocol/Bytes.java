package beaconturn.protocol;

import java.nio.charset.StandardCharsets;

/** Fills input buffers in tests as a socket would, byte by byte. */
public final class Bytes {
  private Bytes() {}

  static void feed(InputBuffer in, String text) {
    for (byte b : text.getBytes(StandardCharsets.ISO_8859_1)) {
      in.ensureRoom();
      in.array()[in.end()] = b;
      in.filled(1);
    }
  }

  /** A buffer with the text as unparsed bytes. */
  public static InputBuffer buffer(String text) {
    InputBuffer in = new InputBuffer();
    feed(in, text);
    return in;
  }
}
