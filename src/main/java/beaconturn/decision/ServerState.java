package beaconturn.decision;

/**
 * State of one cache or origin server: its entry in the endpoint list, operator overrides, and the
 * state that each rule keeps for it.
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

  /** Latest possible start time of the server, by the router's own clock; 0 for long ago. */
  private long startedAtNanos;

  /** When an operator readmitted the server; 0 if the endpoint list reports a later start. */
  private long readmittedAtNanos;

  private long excludedAtNanos;
  private boolean excluded;

  /** Number of attempts to which the server has responded. */
  private long responses;

  /** Whether the last attempt ended without a response. */
  private boolean unresponsive;

  /**
   * Whether an advisory list removed the server while it was responsive. Such a server stays in use
   * until an attempt ends without a response.
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
   * Creates the state of the same server for a router with other settings. Both share the
   * slow-start budget, because both send while the predecessor completes its requests.
   */
  ServerState successor(boolean sameReports, boolean useRating) {
    ServerState successor = new ServerState(id, slowStartBudget);
    successor.zone = zone;
    successor.cell = cell;
    successor.kind = kind;
    successor.health = health;
    successor.unresponsive = unresponsive;
    successor.removalUnconfirmed = removalUnconfirmed;
    successor.rating = useRating ? rating : 1;
    successor.listedBootTimeNanos = listedBootTimeNanos;
    successor.startedAtNanos = startedAtNanos;
    successor.readmittedAtNanos = readmittedAtNanos;
    successor.excludedAtNanos = excludedAtNanos;
    successor.excluded = excluded;
    successor.connection.copyFrom(connection);
    successor.outlier.copyFrom(outlier);
    if (sameReports) {
      successor.loadReport.copyFrom(loadReport);
    }
    return successor;
  }

  /**
   * Applies an entry of an endpoint list; a new boot time counts as a start at {@code startNanos}.
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
   * Handles removal from the list. With advisory removal, since lists may be wrong, a ready server
   * stays in use until an attempt ends without a response.
   */
  void removedFromList(boolean removalIsAdvisory) {
    removalUnconfirmed = removalIsAdvisory && health == EndpointHealth.READY && !unresponsive;
    if (!removalUnconfirmed) {
      health = EndpointHealth.GONE;
    }
  }

  /**
   * Excludes the server or readmits it. A readmitted server counts as started at that time, unless
   * the list reports a start while it was excluded.
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
   * Records the end of an attempt. Returns whether the set of known servers changes: the server's
   * removal is confirmed, or its state can be dropped.
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

  /** Resets learned state after a restart of the server. */
  private void restarted() {
    outlier.reset();
    connection.clearFailure();
    slowStartBudget.reset();
  }

  /**
   * Returns when the warm-up started, at a listed start or at an operator's readmission; 0 for long
   * ago.
   */
  long warmUpStartNanos() {
    return Math.max(readmittedAtNanos, startedAtNanos);
  }

  /** Whether both servers deduplicate repeats of a request with an idempotency key together. */
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

  /** Whether the server accepts new requests. */
  boolean isUsable() {
    return health == EndpointHealth.READY && !excluded;
  }

  /** Whether the state can be dropped; operator overrides outlive removal from the list. */
  boolean isRemovable() {
    return !isListed() && load.inFlight() == 0 && !excluded && readmittedAtNanos == 0;
  }

  /** Returns the current status of the server. */
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

  /**
   * Returns the server with fewer attempts in flight, the first one on a tie; {@code first} may be
   * null.
   */
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

  /** Returns the relative size; 1 if ratings are not used. */
  double rating() {
    return rating;
  }

  /** Returns the number of attempts to which the server has responded. */
  long responses() {
    return responses;
  }

  /** Returns the request budget during warm-up; see {@link SlowStart}. */
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
