package beaconturn.decision;

/**
 * What a router knows of one cache or origin server: how the endpoint list and operators have it,
 * and, in parts of its own, what the rules have found of it.
 */
final class ServerState {
  private final long id;
  private final TokenBucket slowStartBudget;
  private final ServerLoad load = new ServerLoad();
  private final OutlierState outlier = new OutlierState();
  private final ServerConnectivity connection = new ServerConnectivity();
  private final LoadReport loadReport = new LoadReport();
  private int zone;
  private int cell;
  private int kind;
  private EndpointHealth health = EndpointHealth.GONE;
  private double rating;
  private long listedBootTimeNanos;

  /**
   * When it last started, as late as that can have been by the router's own clock; 0 for long ago.
   */
  private long startedAtNanos;

  /** When an operator brought it back into use; 0 where the endpoint list knows a later start. */
  private long readmittedAtNanos;

  private long excludedAtNanos;
  private boolean excluded;

  /** Number of attempts to which the server has responded. */
  private long responses;

  /** Whether the last attempt ended without a response. */
  private boolean unresponsive;

  /**
   * Whether an advisory list has removed it and it has not been unresponsive yet; it is still used until
   * it is.
   */
  private boolean removalUnconfirmed;

  ServerState(long id) {
    this(id, new TokenBucket());
  }

  private ServerState(long id, TokenBucket slowStartBudget) {
    this.id = id;
    this.slowStartBudget = slowStartBudget;
  }

  /**
   * The same server for a router with other settings. Both share the slow-start budget, because
   * both send while the older one finishes its requests.
   */
  ServerState successor(boolean sameReports, boolean useRating) {
    ServerState next = new ServerState(id, slowStartBudget);
    next.zone = zone;
    next.cell = cell;
    next.kind = kind;
    next.health = health;
    next.unresponsive = unresponsive;
    next.removalUnconfirmed = removalUnconfirmed;
    next.rating = useRating ? rating : 1;
    next.listedBootTimeNanos = listedBootTimeNanos;
    next.startedAtNanos = startedAtNanos;
    next.readmittedAtNanos = readmittedAtNanos;
    next.excludedAtNanos = excludedAtNanos;
    next.excluded = excluded;
    next.connection.copyFrom(connection);
    next.outlier.copyFrom(outlier);
    if (sameReports) {
      next.loadReport.copyFrom(loadReport);
    }
    return next;
  }

  /**
   * Takes over what an endpoint list says of it; a start that is new here counts as one at {@code
   * startNanos}.
   */
  void update(Endpoint endpoint, boolean useRating, boolean removalIsAdvisory, long startNanos) {
    if (endpoint.bootTimeNanos() != listedBootTimeNanos) {
      restarted();
      startedAtNanos = endpoint.bootTimeNanos() == 0 ? 0 : startNanos;
    }
    zone = endpoint.zone();
    cell = endpoint.cell();
    kind = endpoint.kind();
    if (endpoint.health() == EndpointHealth.GONE) {
      removedFromList(removalIsAdvisory);
    } else {
      health = endpoint.health();
      removalUnconfirmed = false;
    }
    rating = useRating && endpoint.rating() > 0 ? endpoint.rating() : 1;
    listedBootTimeNanos = endpoint.bootTimeNanos();
  }

  /**
   * A list leaves it out, or calls it gone. Where removals are advisory, as lists are wrong at
   * times, a ready server stays in use until an attempt at it ends without a response.
   */
  void removedFromList(boolean removalIsAdvisory) {
    removalUnconfirmed = removalIsAdvisory && health == EndpointHealth.READY && !unresponsive;
    if (!removalUnconfirmed) {
      health = EndpointHealth.GONE;
    }
  }

  /**
   * An operator excludes it, or brings it back. A server that is back counts as started at that
   * time, unless the list knows a start while it was excluded.
   */
  void operatorOverride(boolean exclude, long atNanos) {
    if (!exclude && (excluded || !isListed())) {
      restarted();
      readmittedAtNanos = startedAtNanos > excludedAtNanos ? 0 : atNanos;
    }
    if (exclude && !excluded) {
      excludedAtNanos = atNanos;
    }
    excluded = exclude;
  }

  /**
   * An attempt has ended. True if the set of servers in use changes by that: the server's removal
   * is confirmed now, or nothing more is to be remembered of it.
   */
  boolean attemptEnded(AttemptOutcome outcome) {
    if (outcome.serverResponded()) {
      responses++;
    }
    if (!outcome.endedLocally()) {
      unresponsive = !outcome.serverResponded();
    }
    boolean removalConfirmed = removalUnconfirmed && unresponsive;
    if (removalConfirmed) {
      health = EndpointHealth.GONE;
    }
    return removalConfirmed || isRemovable();
  }

  /** The server has started afresh: what was learned of it before holds no more. */
  private void restarted() {
    outlier.reset();
    connection.clearFailure();
    slowStartBudget.reset();
  }

  /** Since when it warms up, by the list or by an operator who brought it back; 0 for long ago. */
  long warmUpStartNanos() {
    return Math.max(readmittedAtNanos, startedAtNanos);
  }

  /** Whether the two drop each other's repeats of a request with an idempotency key. */
  boolean deduplicatesWith(ServerState other, DeduplicationScope scope) {
    return switch (scope) {
      case ALL -> true;
      case ZONE -> zone == other.zone;
      case CELL -> cell == other.cell;
    };
  }

  boolean isListed() {
    return health != EndpointHealth.GONE;
  }

  /** Whether new requests may go to it. */
  boolean isUsable() {
    return health == EndpointHealth.READY && !excluded;
  }

  /**
   * Whether nothing is to be remembered of it: what an operator excludes stays so when it is listed
   * again.
   */
  boolean isRemovable() {
    return !isListed() && load.inFlight() == 0 && !excluded && readmittedAtNanos == 0;
  }

  /** How a router treats it now; {@code warmingUp} says whether it still warms up. */
  ServerStatus status(boolean warmingUp) {
    if (!isListed()) {
      return ServerStatus.GONE;
    }
    if (excluded) {
      return ServerStatus.EXCLUDED;
    }
    if (!isUsable()) {
      return ServerStatus.DRAINING;
    }
    if (outlier.ejected) {
      return ServerStatus.EJECTED;
    }
    return warmingUp ? ServerStatus.WARMING : ServerStatus.ACTIVE;
  }

  /** The one with fewer attempts in flight, the first of two alike; the first may be null. */
  static ServerState lessLoaded(ServerState first, ServerState second) {
    boolean secondIsLess = first == null || second.load.inFlight() < first.load.inFlight();
    return secondIsLess ? second : first;
  }

  long id() {
    return id;
  }

  int zone() {
    return zone;
  }

  int kind() {
    return kind;
  }

  /** Its size against others; 1 where ratings are not used. */
  double rating() {
    return rating;
  }

  /** How many attempts it has responded to. */
  long responses() {
    return responses;
  }

  /** What it may get while it warms up; see {@link SlowStart}. */
  TokenBucket slowStartBudget() {
    return slowStartBudget;
  }

  ServerLoad load() {
    return load;
  }

  OutlierState outlier() {
    return outlier;
  }

  ServerConnectivity connection() {
    return connection;
  }

  LoadReport loadReport() {
    return loadReport;
  }
}
