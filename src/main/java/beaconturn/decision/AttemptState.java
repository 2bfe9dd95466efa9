package beaconturn.decision;

/** State of one attempt of a request, from sending it until it is closed. */
final class AttemptState {
  private final ServerState server;
  private final long sentAtNanos;
  private final boolean toCache;
  private final boolean fetchesFromOrigin;
  private final boolean needsConnection;
  private final long responsesAtSend;
  private boolean open = true;
  private boolean beingServed = true;
  private boolean provenWithoutEffect;
  private boolean countedLate;

  /**
   * Creates an attempt that is sent now.
   *
   * @param fetchesFromOrigin whether the attempt goes to the origin, or to a cache that is expected
   *     to fetch from the origin
   */
  AttemptState(ServerState server, long sentAtNanos, boolean toCache, boolean fetchesFromOrigin) {
    this.server = server;
    this.sentAtNanos = sentAtNanos;
    this.toCache = toCache;
    this.fetchesFromOrigin = fetchesFromOrigin;
    this.needsConnection = !server.connection().isOpen(sentAtNanos);
    this.responsesAtSend = server.responses();
  }

  ServerState server() {
    return server;
  }

  long sentAtNanos() {
    return sentAtNanos;
  }

  /** Whether the attempt went to a cache rather than to the origin. */
  boolean toCache() {
    return toCache;
  }

  boolean fetchesFromOrigin() {
    return fetchesFromOrigin;
  }

  /** Whether a new connection was expected to be necessary. */
  boolean needsConnection() {
    return needsConnection;
  }

  boolean isOpen() {
    return open;
  }

  void close(AttemptOutcome outcome) {
    open = false;
    provenWithoutEffect = outcome.provesNoEffect();
  }

  /**
   * Whether the server is still processing the attempt: until the response starts or the attempt
   * ends.
   */
  boolean isBeingServed() {
    return beingServed;
  }

  void markServed() {
    beingServed = false;
  }

  /** Whether the attempt has ended and certainly had no effect. */
  boolean isProvenWithoutEffect() {
    return provenWithoutEffect;
  }

  /** Whether the attempt was counted as a failed health sample for being late. */
  boolean isCountedLate() {
    return countedLate;
  }

  void markCountedLate() {
    countedLate = true;
  }

  /** Whether the server has responded to no attempt since this attempt was sent. */
  boolean isServerUnresponsiveSinceSend() {
    return server.responses() == responsesAtSend;
  }
}
