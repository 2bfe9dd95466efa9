package beaconturn.rehearsal;

/**
 * A request as it was planned before the play.
 *
 * @param number counts all of a play, from 0
 * @param at when a client wants it, in nanoseconds from the first second of the play
 * @param stream which clients it belongs to
 * @param type its class
 * @param key what it concerns
 * @param chance decides all that is left to chance while it is played, so that a play can be
 *     repeated
 */
record ScheduledRequest(
    int number, long at, int stream, Scenario.Type type, String key, long chance) {
  private static final int SPREAD = 40;

  /** The id of one try. */
  String id(long seed, int attempt) {
    return String.format("%08x%02x%06x", number, attempt, seed & 0xffffff);
  }

  /** The idempotency key, the same for all tries. */
  String once(long seed) {
    return String.format("k%08x%06x", number, seed & 0xffffff);
  }

  /** One of so many routers. */
  int router(int attempt, int routers) {
    return (int) Long.remainderUnsigned((chance ^ chance >>> SPREAD) + attempt, routers);
  }
}
