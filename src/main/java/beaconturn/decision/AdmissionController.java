package beaconturn.decision;

import java.util.SplittableRandom;

/**
 * Decides whether an arriving request is admitted or rejected. Sheds load by priority, and only
 * while the caches or the origin are at their {@link ConcurrencyLimit}.
 */
final class AdmissionController {
  /** Fraction of the latency objective beyond which cache responses count as slow. */
  private static final double SLOW_OBJECTIVE_SHARE = 0.5;

  /**
   * Fraction of the latency objective beyond which fetches through a read-through cache count as
   * slow. Such fetches include the work of the cache and take half of the objective without load.
   */
  private static final double SLOW_OBJECTIVE_SHARE_READ_THROUGH = 0.8;

  /**
   * Fraction of a limit that is available to requests of priority 0; priority 1 may use the whole
   * limit.
   */
  private static final double LOWEST_PRIORITY_LIMIT_SHARE = 0.6;

  private final RoutingSettings settings;
  private final EventClock clock;
  private final SplittableRandom random;
  private final KeyFailures keyFailures;
  private final ConcurrencyLimit cacheLimit;
  private final ConcurrencyLimit originLimit;
  private final double highestWeight;

  AdmissionController(
      RoutingSettings settings,
      EventClock clock,
      SplittableRandom random,
      KeyFailures keyFailures) {
    this.settings = settings;
    this.clock = clock;
    this.random = random;
    this.keyFailures = keyFailures;
    boolean cacheAside = settings.origin().cacheAside();
    double slowFetchObjectiveShare =
        cacheAside ? SLOW_OBJECTIVE_SHARE : SLOW_OBJECTIVE_SHARE_READ_THROUGH;
    this.cacheLimit = new ConcurrencyLimit(settings, clock, random, SLOW_OBJECTIVE_SHARE);
    this.originLimit = new ConcurrencyLimit(settings, clock, random, slowFetchObjectiveShare);
    this.highestWeight =
        settings.classes().stream().mapToDouble(RequestClass::priorityWeight).max().orElse(1);
  }

  /** Limits attempts at the caches. */
  ConcurrencyLimit cacheLimit() {
    return cacheLimit;
  }

  /** Limits attempts that fetch from the origin. */
  ConcurrencyLimit originLimit() {
    return originLimit;
  }

  /**
   * Returns why an arriving request is rejected, or null if it is admitted. For a key at fault,
   * only one request in N is admitted, where N is the number of caches that failed it (see {@link
   * KeyFailures}). Draws from the random source.
   */
  GiveUpReason rejection(RequestState request) {
    if (keyFailures.isRejectionDrawn(request.key(), random)) {
      return GiveUpReason.FAILING_KEY;
    }
    if (request.requestClass().isWorthlessWhenLate()
        && request.objectiveEndNanos() <= clock.nowNanos()) {
      return GiveUpReason.TOO_LATE;
    }
    boolean sentToOrigin = settings.origin().cacheAside() && request.isWrite();
    ConcurrencyLimit limit = sentToOrigin ? originLimit : cacheLimit;
    return admits(request, limit) ? null : GiveUpReason.OVERLOADED;
  }

  private boolean admits(RequestState request, ConcurrencyLimit limit) {
    double limitShare =
        LOWEST_PRIORITY_LIMIT_SHARE + (1 - LOWEST_PRIORITY_LIMIT_SHARE) * priority(request);
    return limit.hasCapacityWithin(limitShare) && !exceedsSpareCapacity(request, limit);
  }

  /**
   * Whether the request exceeds its tenant's quota and the limit has no spare capacity. Draws from
   * the random source for requests over quota.
   */
  boolean exceedsSpareCapacity(RequestState request, ConcurrencyLimit limit) {
    return request.isOverQuota() && !limit.hasSpareCapacity();
  }

  /**
   * Returns the priority of a request from 0 to 1, relative to the highest weight of all request
   * classes. Requests over quota have a reduced priority.
   */
  double priority(RequestState request) {
    double quotaWeight = request.isOverQuota() ? settings.overQuotaPriorityWeight() : 1;
    return request.requestClass().priorityWeight() * quotaWeight / highestWeight;
  }

  /** Counts an attempt against the limits that apply to it. */
  void attemptStarted(AttemptState attempt) {
    if (attempt.toCache()) {
      cacheLimit.attemptStarted();
    }
    if (attempt.fetchesFromOrigin()) {
      originLimit.attemptStarted();
    }
  }

  /**
   * Stops counting an attempt when its response starts or it ends. Limits cover the work of
   * servers, not the time that a client takes to receive a streamed response.
   */
  void attemptServed(AttemptState attempt) {
    if (!attempt.isBeingServed()) {
      return;
    }
    attempt.markServed();
    if (attempt.toCache()) {
      cacheLimit.attemptServed();
    }
    if (attempt.fetchesFromOrigin()) {
      originLimit.attemptServed();
    }
  }
}
