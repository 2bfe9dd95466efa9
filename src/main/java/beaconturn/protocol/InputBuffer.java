package beaconturn.protocol;

/**
 * A buffer of received but unparsed bytes. Received bytes are never moved or overwritten: when the
 * array is full, the unparsed bytes are copied to a new one, so that slices of the old array stay
 * valid. For one thread at a time.
 */
public final class InputBuffer {
  private static final int CHUNK_BYTES = 4096;
  private static final int MIN_FREE_BYTES = 512;
  private static final byte[] NO_BYTES = {};

  private byte[] bytes = NO_BYTES;

  /** The range of unparsed bytes in the array. */
  private int start;

  private int end;

  /** The minimum size of the current message if known, else 0. */
  private int expectedBytes;

  /** Ensures free space for reading and returns the number of free bytes after {@link #end}. */
  public int ensureRoom() {
    return ensureRoom(Integer.MAX_VALUE);
  }

  /**
   * Ensures free space for reading and returns the number of free bytes after {@link #end}.
   *
   * @param maxExpectedBytes allocates no more than this for a message whose size is known
   */
  public int ensureRoom(int maxExpectedBytes) {
    int unparsed = end - start;
    int expected = Math.min(expectedBytes, maxExpectedBytes);
    boolean sizeKnown = expected > unparsed;
    int neededBytes = (sizeKnown ? expected : unparsed) + MIN_FREE_BYTES;
    if (bytes.length - start < neededBytes) {
      int capacity = sizeKnown ? neededBytes : nextCapacity(unparsed);
      byte[] next = new byte[Math.max(CHUNK_BYTES, capacity)];
      System.arraycopy(bytes, start, next, 0, unparsed);
      bytes = next;
      start = 0;
      end = unparsed;
    }
    return bytes.length - end;
  }

  private int nextCapacity(int unparsed) {
    // Little follows a value of known size, so doubling the array would waste memory.
    return expectedBytes > 0 ? unparsed + CHUNK_BYTES : 2 * unparsed;
  }

  /** Sets the minimum size of the current message, so that its array is allocated only once. */
  public void expect(int sizeBytes) {
    expectedBytes = sizeBytes;
  }

  /** The minimum size of the current message if known, else 0. */
  public int expectedBytes() {
    return expectedBytes;
  }

  /** The array to read into, from {@link #end} on, after {@link #ensureRoom}. */
  public byte[] array() {
    return bytes;
  }

  /** The array index of the next byte to read. */
  public int end() {
    return end;
  }

  /** Records that {@code count} bytes were read into the array. */
  public void filled(int count) {
    end += count;
  }

  /** The number of unparsed bytes. */
  public int size() {
    return end - start;
  }

  /** The unparsed byte at a position, from 0. */
  public byte at(int position) {
    return bytes[start + position];
  }

  /** A slice of the unparsed bytes, which shares the array. */
  public Slice slice(int from, int length) {
    return new Slice(bytes, start + from, length);
  }

  /**
   * Replaces a range of unparsed bytes, given by positions from 0, in a new array of no more than
   * the default size if the result fits. The size of the current message is unknown afterwards.
   */
  public void replace(int from, int to, byte[] replacement) {
    int tailBytes = size() - to;
    int newSize = from + replacement.length + tailBytes;
    byte[] next = new byte[Math.max(CHUNK_BYTES, newSize + MIN_FREE_BYTES)];
    System.arraycopy(bytes, start, next, 0, from);
    System.arraycopy(replacement, 0, next, from, replacement.length);
    System.arraycopy(bytes, start + to, next, from + replacement.length, tailBytes);
    bytes = next;
    start = 0;
    end = newSize;
    expectedBytes = 0;
  }

  /** Marks {@code count} bytes as parsed; releases the array of a large message with its last. */
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
