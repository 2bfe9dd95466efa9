package beaconturn.decision;

import java.util.SplittableRandom;

/**
 * Decides whether a request is admitted or rejected at once. Load is shed by priority, and only
 * when the caches or the origin are at their {@link ConcurrencyLimit}.
 */
final class AdmissionController {
  /** Caches are slow when answers take this part of their latency objective. */
  private static final double SLOW_OBJECTIVE_SHARE = 0.5;

  /**
   * The same of fetches through a cache: its own work is in them, and they take half the objective
   * at rest.
   */
  private static final double SLOW_OBJECTIVE_SHARE_THROUGH_CACHE = 0.8;

  /** Part of a limit that is open to requests of priority 0; priority 1 may use all of it. */
  private static final double OPEN_TO_ALL = 0.6;

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
    boolean aside = settings.origin().cacheAside();
    double slowFetches = aside ? SLOW_OBJECTIVE_SHARE : SLOW_OBJECTIVE_SHARE_THROUGH_CACHE;
    this.cacheLimit = new ConcurrencyLimit(settings, clock, random, SLOW_OBJECTIVE_SHARE);
    this.originLimit = new ConcurrencyLimit(settings, clock, random, slowFetches);
    this.highestWeight =
        settings.classes().stream().mapToDouble(RequestClass::priorityWeight).max().orElse(1);
  }

  /** Attempts at the caches. */
  ConcurrencyLimit cacheLimit() {
    return cacheLimit;
  }

  /** Attempts that fetch from the origin. */
  ConcurrencyLimit originLimit() {
    return originLimit;
  }

  /**
   * Why a request that has just arrived is given up at once; null if it is admitted. For a key that
   * is at fault (see {@link KeyFailures}) one request in as many as caches have failed it is
   * admitted. Draws.
   */
  GiveUpReason rejection(RequestState request) {
    if (keyFailures.isDrawnHopeless(request.key(), random)) {
      return GiveUpReason.FAILING_KEY;
    }
    if (request.type().isWorthlessLate() && request.objectiveEndsNanos() <= clock.nowNanos()) {
      return GiveUpReason.TOO_LATE;
    }
    boolean goesToOrigin = settings.origin().cacheAside() && request.isWrite();
    ConcurrencyLimit limit = goesToOrigin ? originLimit : cacheLimit;
    return admits(request, limit) ? null : GiveUpReason.OVERLOADED;
  }

  private boolean admits(RequestState request, ConcurrencyLimit limit) {
    double partOfLimit = OPEN_TO_ALL + (1 - OPEN_TO_ALL) * priority(request);
    return limit.hasCapacityWithin(partOfLimit) && !exceedsSpareCapacity(request, limit);
  }

  /** Whether a request beyond its tenant's quota finds no capacity to spare; draws for such. */
  boolean exceedsSpareCapacity(RequestState request, ConcurrencyLimit limit) {
    return request.isOverQuota() && !limit.hasSpareCapacity();
  }

  /**
   * The priority of a request: 1 for the highest weight of all classes, less for lower weights and
   * beyond a quota.
   */
  double priority(RequestState request) {
    double quotaWeight = request.isOverQuota() ? settings.overQuotaPriorityWeight() : 1;
    return request.type().priorityWeight() * quotaWeight / highestWeight;
  }

  /** An attempt is sent. */
  void attemptStarted(AttemptState attempt) {
    if (attempt.toCache()) {
      cacheLimit.attemptStarted();
    }
    if (attempt.fetchesFromOrigin()) {
      originLimit.attemptStarted();
    }
  }

  /**
   * An attempt's answer begins, or the attempt has ended. Limits count what servers are at work on,
   * not what only clients take their time for.
   */
  void attemptServed(AttemptState attempt) {
    if (!attempt.isBeingServed()) {
      return;
    }
    attempt.served();
    if (attempt.toCache()) {
      cacheLimit.attemptServed();
    }
    if (attempt.fetchesFromOrigin()) {
      originLimit.attemptServed();
    }
  }
}
