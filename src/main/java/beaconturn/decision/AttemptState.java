package beaconturn.decision;

/** One attempt of a request, from when it is sent until it is closed. */
final class AttemptState {
  private final ServerState server;
  private final long sentAtNanos;
  private final boolean toCache;
  private final boolean fetchesFromOrigin;
  private final boolean needsConnection;
  private final long responsesBefore;
  private boolean open = true;
  private boolean beingServed = true;
  private boolean provenWithoutEffect;
  private boolean countedLate;

  /**
   * An attempt that is sent now; {@code fetchesFromOrigin} says that it goes to the origin, or that
   * its cache is expected to ask the origin.
   */
  AttemptState(ServerState server, long sentAtNanos, boolean toCache, boolean fetchesFromOrigin) {
    this.server = server;
    this.sentAtNanos = sentAtNanos;
    this.toCache = toCache;
    this.fetchesFromOrigin = fetchesFromOrigin;
    this.needsConnection = !server.connection().isOpen(sentAtNanos);
    this.responsesBefore = server.responses();
  }

  ServerState server() {
    return server;
  }

  long sentAtNanos() {
    return sentAtNanos;
  }

  /** Whether it went to a cache; else to the origin itself. */
  boolean toCache() {
    return toCache;
  }

  boolean fetchesFromOrigin() {
    return fetchesFromOrigin;
  }

  /** Whether it needs a new connection, as far as the router knows. */
  boolean needsConnection() {
    return needsConnection;
  }

  boolean isOpen() {
    return open;
  }

  /** It has ended. */
  void close(AttemptOutcome outcome) {
    open = false;
    provenWithoutEffect = outcome.provesNoEffect();
  }

  /** Whether its server is at work on it: until its answer begins to come, or it ends. */
  boolean isBeingServed() {
    return beingServed;
  }

  /** Its answer begins to come, or it has ended. */
  void served() {
    beingServed = false;
  }

  /** Whether it has ended, and in a way that proves that it had no effect. */
  boolean isProvenWithoutEffect() {
    return provenWithoutEffect;
  }

  /** Whether it was counted as a bad sample of its server for being late. */
  boolean isCountedLate() {
    return countedLate;
  }

  /** Notes that it was counted as a bad sample of its server for being late. */
  void countLate() {
    countedLate = true;
  }

  /** Whether its server has responded to no attempt since this one was sent. */
  boolean isServerSilentSince() {
    return server.responses() == responsesBefore;
  }
}
