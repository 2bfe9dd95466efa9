package beaconturn.rehearsal;

/**
 * A request as it was scheduled before the rehearsal.
 *
 * @param number its number in the rehearsal, from 0
 * @param atNanos when a client sends it first, counted from the start of the rehearsal
 * @param stream the index of the clients that it belongs to
 * @param requestClass its class
 * @param key the key that it reads or writes
 * @param randomBits seeds all random choices about the request, so that runs are reproducible
 */
record ScheduledRequest(
    int number,
    long atNanos,
    int stream,
    Scenario.RequestClass requestClass,
    String key,
    long randomBits) {
  private static final int ROUTER_BITS_SHIFT = 40;

  /** Returns the request id of one attempt; its first eight digits are those of the request. */
  String attemptId(long seed, int attempt) {
    return String.format("%08x%02x%06x", number, attempt, seed & 0xffffff);
  }

  /** Returns the idempotency key, the same for all attempts. */
  String idempotencyKey(long seed) {
    return String.format("k%08x%06x", number, seed & 0xffffff);
  }

  /** Returns the index of the router for an attempt. */
  int routerFor(int attempt, int routerCount) {
    return (int)
        Long.remainderUnsigned(
            (randomBits ^ randomBits >>> ROUTER_BITS_SHIFT) + attempt, routerCount);
  }
}
