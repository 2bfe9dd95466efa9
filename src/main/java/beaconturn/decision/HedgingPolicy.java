package beaconturn.decision;

/**
 * Decides when an attempt counts as late and what follows: a hedged request to another cache, or,
 * where two attempts may not race, a move to another cache.
 */
final class HedgingPolicy {
  /** Where a late attempt is moved, it waits for at least this part of the latency objective. */
  private static final double MIN_OBJECTIVE_SHARE_BEFORE_MOVE = 1.0 / 2;

  private final RoutingSettings settings;
  private final EventClock clock;
  private final ResponseTimes times;
  private final RetryPolicy retries;

  /** What follows when an attempt is late. */
  enum LateAction {
    /** The attempt goes on alone. */
    WAIT,
    /** Another attempt is sent while it goes on. */
    HEDGE,
    /** It is cancelled, and the request goes to another cache. */
    MOVE
  }

  HedgingPolicy(
      RoutingSettings settings, EventClock clock, ResponseTimes times, RetryPolicy retries) {
    this.settings = settings;
    this.clock = clock;
    this.times = times;
    this.retries = retries;
  }

  /** How long an attempt that is sent now may take until it counts as late, in nanoseconds. */
  long lateAfterNanos(RequestState request, boolean fetches) {
    long lateAfterNanos = times.lateAfterNanos(request, fetches);
    if (!settings.origin().cacheAside() || settings.permissions().hedging()) {
      return lateAfterNanos;
    }
    // A late attempt is moved here, which loses the time that was waited.
    double minNanos = request.type().latencyObjectiveNanos() * MIN_OBJECTIVE_SHARE_BEFORE_MOVE;
    return Math.max((long) minNanos, lateAfterNanos);
  }

  /**
   * Whether an attempt that is sent now would count as late while an answer to it is still worth
   * something; only then is it watched.
   */
  boolean isLateBeforeDue(RequestState request, long lateAfterNanos) {
    return clock.nowNanos() + lateAfterNanos < request.dueNanos();
  }

  /** What follows now that an open attempt is late. */
  LateAction actionWhenLate(RequestState request, AttemptState late) {
    if (!retries.allowsFurtherAttempt()
        || request.openAttempts() > 1
        || request.type().idempotency() == Idempotency.NON_IDEMPOTENT
        || isOriginLate(late)) {
      return LateAction.WAIT;
    }
    RoutingPermissions permissions = settings.permissions();
    if (permissions.hedging()) {
      return LateAction.HEDGE;
    }
    // Not where caches fetch: they go on with what is cancelled, and would do the work twice.
    boolean mayMove = permissions.cancel() && settings.origin().cacheAside();
    return mayMove ? LateAction.MOVE : LateAction.WAIT;
  }

  /**
   * Whether the origin is late and not the server: the attempt fetches, and its server has answered
   * other attempts since.
   */
  private static boolean isOriginLate(AttemptState late) {
    return late.fetchesFromOrigin() && !late.isServerSilentSince();
  }
}
