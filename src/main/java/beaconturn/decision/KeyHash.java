package beaconturn.decision;

/** Hash that places keys and virtual points on the ring; mixes all 64 bits. */
final class KeyHash {
  private KeyHash() {}

  /** The finalizer of the SplitMix64 generator. */
  static long mix(long value) {
    long z = value * 0x9e3779b97f4a7c15L;
    z = (z ^ z >>> 30) * 0xbf58476d1ce4e5b9L;
    z = (z ^ z >>> 27) * 0x94d049bb133111ebL;
    return z ^ z >>> 31;
  }
}
