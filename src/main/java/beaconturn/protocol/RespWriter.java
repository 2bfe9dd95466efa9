package beaconturn.protocol;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** Encodes RESP2 values. Stateless; safe for any thread. */
public final class RespWriter {
  private static final int MAX_ERROR_CHARS = 200;

  private RespWriter() {}

  /** The header of an array of {@code count} items. */
  public static Slice arrayHeader(int count) {
    return Slice.of("*" + count + "\r\n");
  }

  /** A bulk string of ASCII text. */
  public static Slice bulk(String text) {
    return Slice.of("$" + text.length() + "\r\n" + text + "\r\n");
  }

  /** A bulk string; null for the null bulk string. */
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

  /** A simple string. */
  public static Slice simple(String text) {
    return Slice.of("+" + text + "\r\n");
  }

  /** A simple error; replaces characters outside printable ASCII and truncates long texts. */
  public static Slice error(String text) {
    String line = text.replaceAll("[^ -~]", "?");
    return Slice.of("-" + line.substring(0, Math.min(line.length(), MAX_ERROR_CHARS)) + "\r\n");
  }
}
