package beaconturn.decision;

/** Updates the learned state (latencies, health, limits) from attempts that end or are late. */
final class AttemptFeedback {
  private final RoutingSettings settings;
  private final RouterRules rules;
  private final LoadReports reports;
  private final boolean cacheAside;

  AttemptFeedback(RoutingSettings settings, RouterRules rules, LoadReports reports) {
    this.settings = settings;
    this.rules = rules;
    this.reports = reports;
    this.cacheAside = settings.origin().cacheAside();
  }

  /** Counts an attempt that is late and still open as a failed health sample of its server. */
  void attemptLate(AttemptState attempt) {
    attempt.markCountedLate();
    rules.outliers.recordSample(attempt.server(), true);
  }

  /** Records the end of an attempt at a cache. */
  void cacheAttemptEnded(
      RequestState request, AttemptState attempt, RoutingEvent.AttemptClosed closed) {
    AttemptOutcome outcome = closed.outcome();
    rules.connections.attemptEnded(attempt, outcome);
    if (outcome.endedLocally()) {
      return;
    }
    rules.keyFailures.attemptEnded(request.key(), attempt.server().id(), outcome);
    if (outcome.isSuccessOrMiss()) {
      rules.slowStart.cacheResponded();
    }
    boolean fetched = hasFetched(attempt, closed);
    boolean late = closed.elapsedNanos() > rules.times.lateAfterNanos(request, fetched);
    reports.received(attempt.server(), closed.loadReport());
    if (outcome == AttemptOutcome.OK) {
      recordCacheResponse(request, attempt, closed, fetched);
    }
    if (isHealthSample(request, attempt, outcome, fetched && !late)) {
      rules.outliers.recordSample(attempt.server(), !outcome.isSuccessOrMiss() || late);
    }
    if (!fetched) {
      observeCacheLimit(request, attempt, closed);
    }
  }

  private boolean isReadThroughMiss(RoutingEvent.AttemptClosed closed) {
    return !cacheAside && closed.cacheStatus() == CacheStatus.MISS;
  }

  /**
   * Whether the origin was contacted. Where a fetch was expected, only a reported hit disproves it:
   * with many routers, most hits are on keys that this router has not seen before.
   */
  private boolean hasFetched(AttemptState attempt, RoutingEvent.AttemptClosed closed) {
    return isReadThroughMiss(closed)
        || (attempt.fetchesFromOrigin() && closed.cacheStatus() != CacheStatus.HIT);
  }

  private void recordCacheResponse(
      RequestState request,
      AttemptState attempt,
      RoutingEvent.AttemptClosed closed,
      boolean fetched) {
    ServerState server = attempt.server();
    if (!request.isWrite() && !cacheAside) {
      rules.cachedKeys.recordResponse(
          request.key(), server.id(), isReadThroughMiss(closed), rules.clock.nowNanos());
    }
    if (fetched) {
      return;
    }
    MovingAverage classResponseNanos = rules.times.responseNanosOf(request.classIndex());
    if (classResponseNanos.hasSamples() && cacheAside) {
      rules.ring.recordLatency(server, closed.elapsedNanos() / classResponseNanos.mean());
    }
    rules.times.recordResponse(request.classIndex(), closed.elapsedNanos());
  }

  /**
   * Whether the outcome counts as a health sample of the cache. Errors of a key at fault do not. An
   * attempt already counted as late counts again only if it succeeds with a fetch that was on time:
   * the delay was then the origin's, and the success offsets the failed sample.
   */
  private boolean isHealthSample(
      RequestState request, AttemptState attempt, AttemptOutcome outcome, boolean fetchedInTime) {
    if (rules.keyFailures.explainsOutcome(request.key(), outcome)) {
      return false;
    }
    return !attempt.isCountedLate() || (outcome.isSuccessOrMiss() && fetchedInTime);
  }

  private void observeCacheLimit(
      RequestState request, AttemptState attempt, RoutingEvent.AttemptClosed closed) {
    // Without hedging, a request lost in transit ends as a timeout, which does not indicate
    // overload.
    boolean lost = closed.outcome() == AttemptOutcome.TIMEOUT && !settings.permissions().hedging();
    if (attempt.server().outlier().ejected || lost) {
      return;
    }
    boolean rejected = closed.outcome() == AttemptOutcome.REJECTED;
    double objectiveShare = rejected ? 1 : objectiveShare(request, closed);
    double minLimit = Math.max(1, rules.ring.size()) / (double) settings.routerCount();
    rules
        .admission
        .cacheLimit()
        .observe(objectiveShare, rules.times.responseNanos().mean(), minLimit);
  }

  /** Records the end of a fetch, sent to the origin itself or through a cache. */
  void fetchEnded(RequestState request, AttemptState attempt, RoutingEvent.AttemptClosed closed) {
    AttemptOutcome outcome = closed.outcome();
    if (outcome.endedLocally()
        || attempt.server().outlier().ejected
        || endedBeforeFetch(attempt, outcome)) {
      return;
    }
    boolean succeeded = outcome == AttemptOutcome.OK;
    if (succeeded && closed.cacheStatus() != CacheStatus.HIT) {
      rules.times.recordFetch(closed.elapsedNanos());
    }
    double objectiveShare = succeeded ? objectiveShare(request, closed) : 1;
    rules.admission.originLimit().observe(objectiveShare, rules.times.fetchNanos().mean(), 1);
  }

  /**
   * Whether the outcome reflects only the cache and not the origin behind it. Counting such
   * failures would keep the origin's limit low.
   */
  private static boolean endedBeforeFetch(AttemptState attempt, AttemptOutcome outcome) {
    return attempt.toCache()
        && (outcome.provesNoEffect()
            || outcome == AttemptOutcome.RESET
            || attempt.isServerUnresponsiveSinceSend());
  }

  private static double objectiveShare(RequestState request, RoutingEvent.AttemptClosed closed) {
    return closed.elapsedNanos() / (double) request.requestClass().latencyObjectiveNanos();
  }
}
