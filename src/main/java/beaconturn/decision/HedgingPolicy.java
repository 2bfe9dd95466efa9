package beaconturn.decision;

/**
 * Decides when an attempt is late and what follows: a hedged request to another cache, or, where
 * hedging is not permitted, rerouting to another cache.
 */
final class HedgingPolicy {
  /** Minimum wait before a late attempt is rerouted, as a fraction of the latency objective. */
  private static final double MIN_OBJECTIVE_SHARE_BEFORE_REROUTE = 1.0 / 2;

  private final RoutingSettings settings;
  private final EventClock clock;
  private final ResponseTimes times;
  private final RetryPolicy retries;

  /** Reaction to a late attempt. */
  enum LateAction {
    /** Keep waiting for the attempt. */
    WAIT,
    /** Send another attempt while the first one continues. */
    HEDGE,
    /** Cancel the attempt and send the request to another cache. */
    REROUTE
  }

  HedgingPolicy(
      RoutingSettings settings, EventClock clock, ResponseTimes times, RetryPolicy retries) {
    this.settings = settings;
    this.clock = clock;
    this.times = times;
    this.retries = retries;
  }

  /** Returns how long an attempt sent now may take before it is late, in nanoseconds. */
  long lateAfterNanos(RequestState request, boolean fetchesFromOrigin) {
    long lateAfterNanos = times.lateAfterNanos(request, fetchesFromOrigin);
    if (!settings.origin().cacheAside() || settings.permissions().hedging()) {
      return lateAfterNanos;
    }
    // Rerouting a late attempt discards the time already spent waiting.
    double minNanos =
        request.requestClass().latencyObjectiveNanos() * MIN_OBJECTIVE_SHARE_BEFORE_REROUTE;
    return Math.max((long) minNanos, lateAfterNanos);
  }

  /**
   * Whether an attempt sent now would become late while a response is still of use; only then is a
   * timer set.
   */
  boolean isLateBeforeDue(RequestState request, long lateAfterNanos) {
    return clock.nowNanos() + lateAfterNanos < request.dueNanos();
  }

  /** Returns the reaction to an open attempt that is late. */
  LateAction actionWhenLate(RequestState request, AttemptState late) {
    if (!retries.allowsFurtherAttempt()
        || request.openAttempts() > 1
        || request.requestClass().idempotency() == Idempotency.NON_IDEMPOTENT
        || isOriginLate(late)) {
      return LateAction.WAIT;
    }
    RoutingPermissions permissions = settings.permissions();
    if (permissions.hedging()) {
      return LateAction.HEDGE;
    }
    // Read-through caches continue a cancelled fetch, so that rerouting would do the work twice.
    boolean mayReroute = permissions.cancel() && settings.origin().cacheAside();
    return mayReroute ? LateAction.REROUTE : LateAction.WAIT;
  }

  /**
   * Whether the delay is the origin's: the attempt fetches, and its server has responded to other
   * attempts since.
   */
  private static boolean isOriginLate(AttemptState late) {
    return late.fetchesFromOrigin() && !late.isServerUnresponsiveSinceSend();
  }
}
