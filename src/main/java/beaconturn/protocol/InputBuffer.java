package beaconturn.protocol;

/**
 * Bytes read but not yet parsed. Read bytes are never moved or overwritten: when the array is full,
 * what is unparsed is copied to a new one, so that slices of the old stay valid as long as somebody
 * holds them. For one thread at a time.
 */
public final class InputBuffer {
  private static final int CHUNK_BYTES = 4096;
  private static final int LEAST_ROOM_BYTES = 512;
  private static final byte[] NO_BYTES = {};

  private byte[] bytes = NO_BYTES;

  /** Where unparsed bytes begin and end in the array. */
  private int start;

  private int end;

  /** The size of the message at hand as far as it is known, else 0. */
  private int expectedBytes;

  /** Makes room for at least some bytes and returns how many fit behind {@link #end}. */
  public int ensureRoom() {
    int unparsed = end - start;
    boolean sizeKnown = expectedBytes > unparsed;
    int neededBytes = (sizeKnown ? expectedBytes : unparsed) + LEAST_ROOM_BYTES;
    if (bytes.length - start < neededBytes) {
      byte[] next = new byte[Math.max(CHUNK_BYTES, nextCapacity(unparsed, sizeKnown))];
      System.arraycopy(bytes, start, next, 0, unparsed);
      bytes = next;
      start = 0;
      end = unparsed;
    }
    return bytes.length - end;
  }

  private int nextCapacity(int unparsed, boolean sizeKnown) {
    if (sizeKnown) {
      return expectedBytes + LEAST_ROOM_BYTES;
    }
    // Behind a value whose size was known little is left to come: doubling wastes its size again.
    return expectedBytes > 0 ? unparsed + CHUNK_BYTES : 2 * unparsed;
  }

  /** Notes that the message at hand has at least so many bytes, so that its array is made once. */
  public void expect(int sizeBytes) {
    expectedBytes = sizeBytes;
  }

  /** Whether the message at hand is known to need an array beyond the usual. */
  public boolean isLarge() {
    return expectedBytes > CHUNK_BYTES;
  }

  /** The size of the message at hand as far as it is known, else 0. */
  public int expectedBytes() {
    return expectedBytes;
  }

  /** The array to read into, from {@link #end} on, after {@link #ensureRoom}. */
  public byte[] array() {
    return bytes;
  }

  /** Where the next byte goes in the array. */
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

  /** The unparsed byte at the position, counted from 0. */
  public byte at(int position) {
    return bytes[start + position];
  }

  /** A slice of the unparsed bytes, without a copy. */
  public Slice slice(int from, int length) {
    return new Slice(bytes, start + from, length);
  }

  /** Notes that so many bytes are parsed; the array of a large message is let go with it. */
  public void consume(int count) {
    start += count;
    expectedBytes = 0;
    if (start == end && bytes.length > CHUNK_BYTES) {
      bytes = NO_BYTES;
      start = 0;
      end = 0;
    }
  }
}
