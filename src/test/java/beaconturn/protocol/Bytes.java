package beaconturn.protocol;

import java.nio.charset.StandardCharsets;

/** Feeds text into a buffer as a socket would, a few bytes at a time. */
public final class Bytes {
  private Bytes() {}

  static void feed(InputBuffer in, String text) {
    for (byte b : text.getBytes(StandardCharsets.ISO_8859_1)) {
      in.ensureRoom();
      in.array()[in.end()] = b;
      in.filled(1);
    }
  }

  /** A buffer that holds the text, unparsed. */
  public static InputBuffer buffer(String text) {
    InputBuffer in = new InputBuffer();
    feed(in, text);
    return in;
  }
}
