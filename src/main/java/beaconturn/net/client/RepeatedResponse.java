package beaconturn.net.client;

import beaconturn.protocol.Slice;

/**
 * The position of a number of equal short responses in a row, which take no more memory than one.
 * Guarded by the {@link ClientWriter} that holds it.
 */
final class RepeatedResponse extends ResponseSlot {
  private static final int MAX_COPIES_PER_CHUNK = 256;

  private final Slice single;
  private int remaining = 1;

  /** Creates one position of the response. */
  RepeatedResponse(Slice single) {
    this.single = single;
    fill(single);
  }

  boolean repeats(Slice response) {
    return single.toString().equals(response.toString());
  }

  /** Adds one more position. */
  void add() {
    remaining++;
  }

  @Override
  Slice nextChunk() {
    int copies = Math.min(remaining, MAX_COPIES_PER_CHUNK);
    remaining -= copies;
    byte[] chunk = new byte[copies * single.length()];
    for (int i = 0; i < copies; i++) {
      System.arraycopy(single.array(), single.from(), chunk, i * single.length(), single.length());
    }
    return new Slice(chunk, 0, chunk.length);
  }

  @Override
  boolean endsWithChunk() {
    return remaining == 0;
  }
}
