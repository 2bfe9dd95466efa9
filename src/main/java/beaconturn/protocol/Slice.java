package beaconturn.protocol;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * A range of bytes in the array that they were read into, which is not copied. Whoever reads into
 * the array never overwrites them while a slice is in use; safe for any thread.
 */
public final class Slice {
  private final byte[] bytes;
  private final int from;
  private final int length;

  /** The range of {@code length} bytes that begins at {@code from}. */
  public Slice(byte[] bytes, int from, int length) {
    if (from < 0 || length < 0 || from > bytes.length - length) {
      throw new IndexOutOfBoundsException("slice of " + length + " bytes at " + from);
    }
    this.bytes = bytes;
    this.from = from;
    this.length = length;
  }

  /** The bytes of an ASCII text. */
  public static Slice of(String text) {
    byte[] all = text.getBytes(StandardCharsets.US_ASCII);
    return new Slice(all, 0, all.length);
  }

  /** The array that holds the bytes; not to be written to. */
  public byte[] array() {
    return bytes;
  }

  /** Where the range begins in the array. */
  public int from() {
    return from;
  }

  /** How many bytes there are. */
  public int length() {
    return length;
  }

  /** The byte at the position. */
  public byte at(int position) {
    return bytes[from + position];
  }

  /** The bytes from {@code begin} to before {@code end}, without a copy. */
  public Slice part(int begin, int end) {
    return new Slice(bytes, from + begin, end - begin);
  }

  /** Whether the bytes are those of the ASCII text. */
  public boolean is(String text) {
    if (text.length() != length) {
      return false;
    }
    for (int i = 0; i < length; i++) {
      if (at(i) != text.charAt(i)) {
        return false;
      }
    }
    return true;
  }

  /** A copy of the bytes, for what must outlive the buffer. */
  public byte[] copy() {
    return Arrays.copyOfRange(bytes, from, from + length);
  }

  /** The bytes as UTF-8 text. */
  @Override
  public String toString() {
    return new String(bytes, from, length, StandardCharsets.UTF_8);
  }
}
