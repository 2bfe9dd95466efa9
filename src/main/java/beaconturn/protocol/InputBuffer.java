package beaconturn.protocol;

/**
 * Bytes read but not yet parsed. Read bytes are never moved or overwritten: when the array is full,
 * what is unparsed is copied to a new one, so that slices of the old stay valid as long as somebody
 * holds them.
 */
public final class InputBuffer {
  private static final int CHUNK = 4096;
  private static final int LEAST_ROOM = 512;
  private static final byte[] NONE = {};
  private byte[] bytes = NONE;
  private int start;
  private int end;
  private int expected;

  /** Makes room for at least some bytes and returns how many fit behind {@link #end}. */
  public int room() {
    int unparsed = end - start;
    boolean known = expected > unparsed;
    if (bytes.length - start < (known ? expected : unparsed) + LEAST_ROOM) {
      // Behind a value whose size was known little is left to come: doubling wastes its size again.
      int more = expected > 0 ? unparsed + CHUNK : 2 * unparsed;
      byte[] next = new byte[Math.max(CHUNK, known ? expected + LEAST_ROOM : more)];
      System.arraycopy(bytes, start, next, 0, unparsed);
      bytes = next;
      start = 0;
      end = unparsed;
    }
    return bytes.length - end;
  }

  /** Notes that the message at hand has at least so many bytes, so that its array is made once. */
  public void expect(int size) {
    expected = size;
  }

  /** Whether the message at hand is known to need an array beyond the usual. */
  public boolean large() {
    return expected > CHUNK;
  }

  /** The size of the message at hand as far as it is known, else 0. */
  public int expected() {
    return expected;
  }

  /** The array to read into, from {@link #end} on, after {@link #room}. */
  public byte[] array() {
    return bytes;
  }

  /** Where the next byte goes. */
  public int end() {
    return end;
  }

  /** Notes that so many bytes were read. */
  public void filled(int count) {
    end += count;
  }

  /** How many bytes are unparsed. */
  public int size() {
    return end - start;
  }

  /** The unparsed byte at the position. */
  public byte at(int position) {
    return bytes[start + position];
  }

  /** A slice of the unparsed bytes. */
  public Slice slice(int from, int length) {
    return new Slice(bytes, start + from, length);
  }

  /** Notes that so many bytes are parsed; the array of a large message is let go with it. */
  public void consume(int count) {
    start += count;
    expected = 0;
    if (start == end && bytes.length > CHUNK) {
      bytes = NONE;
      start = 0;
      end = 0;
    }
  }
}
