package beaconturn.protocol;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** Encodes RESP2 values. No state; for any thread. */
public final class RespWriter {
  private static final int LONGEST_ERROR_CHARS = 200;

  private RespWriter() {}

  /** The header of a list of so many items. */
  public static Slice arrayHeader(int count) {
    return Slice.of("*" + count + "\r\n");
  }

  /** A string of bytes, given as ASCII text. */
  public static Slice bulk(String text) {
    return Slice.of("$" + text.length() + "\r\n" + text + "\r\n");
  }

  /** A string of bytes; {@code null} makes the null string. */
  public static Slice bulk(byte[] bytes) {
    if (bytes == null) {
      return Slice.of("$-1\r\n");
    }
    byte[] head = ("$" + bytes.length + "\r\n").getBytes(StandardCharsets.US_ASCII);
    byte[] all = Arrays.copyOf(head, head.length + bytes.length + 2);
    System.arraycopy(bytes, 0, all, head.length, bytes.length);
    all[all.length - 2] = '\r';
    all[all.length - 1] = '\n';
    return new Slice(all, 0, all.length);
  }

  /** A plain answer. */
  public static Slice simple(String text) {
    return Slice.of("+" + text + "\r\n");
  }

  /** An error; whatever could end its line is replaced. */
  public static Slice error(String text) {
    String line = text.replaceAll("[^ -~]", "?");
    return Slice.of("-" + line.substring(0, Math.min(line.length(), LONGEST_ERROR_CHARS)) + "\r\n");
  }
}
