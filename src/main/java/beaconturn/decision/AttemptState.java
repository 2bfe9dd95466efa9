package beaconturn.decision;

/** One sending of a request. */
final class AttemptState {
  final ServerState server;
  final long sentAt;
  final boolean onRing;
  final boolean fetches;
  private final long heardBefore;
  boolean open = true;

  /** Its server is at work on it: until its answer begins to come, or it ends. */
  boolean atWork = true;

  boolean neverRan;
  boolean judged;

  /** Needs a new connection, as far as the router knows. */
  boolean dials;

  AttemptState(ServerState server, long sentAt, boolean onRing, boolean fetches) {
    this.server = server;
    this.sentAt = sentAt;
    this.onRing = onRing;
    this.fetches = fetches;
    this.heardBefore = server.heard;
  }

  /** Whether its server has said nothing, on any attempt, since this one was sent. */
  boolean unheard() {
    return server.heard == heardBefore;
  }
}
