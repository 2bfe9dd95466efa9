package beaconturn.protocol;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * A range of bytes in a shared array. The bytes are never overwritten while a slice of them is in
 * use, so slices are safe for any thread.
 */
public final class Slice {
  private final byte[] bytes;
  private final int from;
  private final int length;

  /** Creates a slice of {@code length} bytes that starts at the index {@code from}. */
  public Slice(byte[] bytes, int from, int length) {
    if (from < 0 || length < 0 || from > bytes.length - length) {
      throw new IndexOutOfBoundsException("slice of " + length + " bytes at " + from);
    }
    this.bytes = bytes;
    this.from = from;
    this.length = length;
  }

  /** A slice with the bytes of an ASCII text. */
  public static Slice of(String text) {
    byte[] all = text.getBytes(StandardCharsets.US_ASCII);
    return new Slice(all, 0, all.length);
  }

  /** The array that contains the bytes. Must not be modified. */
  public byte[] array() {
    return bytes;
  }

  /** The index of the first byte in the array. */
  public int from() {
    return from;
  }

  /** The number of bytes. */
  public int length() {
    return length;
  }

  public byte at(int position) {
    return bytes[from + position];
  }

  /** The bytes from {@code start}, inclusive, to {@code end}, exclusive, sharing the array. */
  public Slice part(int start, int end) {
    return new Slice(bytes, from + start, end - start);
  }

  /** Whether the bytes equal an ASCII text. */
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

  /** The same bytes in an array of their own. */
  public Slice compact() {
    return new Slice(copy(), 0, length);
  }

  /** A copy of the bytes, which does not retain the shared array. */
  public byte[] copy() {
    return Arrays.copyOfRange(bytes, from, from + length);
  }

  /** The bytes as UTF-8 text. */
  @Override
  public String toString() {
    return new String(bytes, from, length, StandardCharsets.UTF_8);
  }
}
