package beaconturn.decision;

/** What the rules learn from the end of an attempt, and from one that is late. */
final class AttemptFeedback {
  private final RoutingSettings settings;
  private final RouterRules rules;
  private final LoadReports reports;
  private final boolean aside;

  AttemptFeedback(RoutingSettings settings, RouterRules rules, LoadReports reports) {
    this.settings = settings;
    this.rules = rules;
    this.reports = reports;
    this.aside = settings.origin().cacheAside();
  }

  /** An open attempt is late: counts as a bad sample of its server at once. */
  void attemptLate(AttemptState attempt) {
    attempt.countLate();
    rules.outliers.sample(attempt.server(), true);
  }

  /** An attempt at a cache has ended. */
  void cacheAttemptEnded(
      RequestState request, AttemptState attempt, RoutingEvent.AttemptClosed end) {
    AttemptOutcome outcome = end.outcome();
    rules.connections.attemptEnded(attempt, outcome);
    if (outcome.endedLocally()) {
      return;
    }
    rules.keyFailures.attemptEnded(request.key(), attempt.server().id(), outcome);
    if (outcome.isAnswer()) {
      rules.slowStart.cacheAnswered();
    }
    boolean fetched = hasFetched(attempt, end);
    boolean late = end.elapsedNanos() > rules.times.lateAfterNanos(request, fetched);
    reports.received(attempt.server(), end.loadReport());
    if (outcome == AttemptOutcome.OK) {
      cacheAnswered(request, attempt, end, fetched);
    }
    if (isHealthSample(request, attempt, outcome, fetched && !late)) {
      rules.outliers.sample(attempt.server(), !outcome.isAnswer() || late);
    }
    if (!fetched) {
      observeCacheLimit(request, attempt, end);
    }
  }

  private boolean isMissOfFetchingCache(RoutingEvent.AttemptClosed end) {
    return !aside && end.cacheStatus() == CacheStatus.MISS;
  }

  /**
   * Whether the origin was asked. Where that was presumed, only a hit says that it was not: at many
   * routers most hits are on keys that are new here.
   */
  private boolean hasFetched(AttemptState attempt, RoutingEvent.AttemptClosed end) {
    return isMissOfFetchingCache(end)
        || (attempt.fetchesFromOrigin() && end.cacheStatus() != CacheStatus.HIT);
  }

  private void cacheAnswered(
      RequestState request, AttemptState attempt, RoutingEvent.AttemptClosed end, boolean fetched) {
    ServerState server = attempt.server();
    if (!request.isWrite() && !aside) {
      rules.cachedKeys.answered(
          request.key(), server.id(), isMissOfFetchingCache(end), rules.clock.nowNanos());
    }
    if (fetched) {
      return;
    }
    MovingAverage usual = rules.times.answerNanosOf(request.classIndex());
    if (usual.hasSamples() && aside) {
      rules.ring.answered(server, end.elapsedNanos() / usual.mean());
    }
    rules.times.answered(request.classIndex(), end.elapsedNanos());
  }

  /**
   * Whether the end is a sample of the cache's health: not where the key is at fault. An attempt
   * that was counted late while it was open counts again only if it then brought an answer that was
   * fetched in time: the origin was late and not the cache, and the good sample makes up for the
   * bad one.
   */
  private boolean isHealthSample(
      RequestState request, AttemptState attempt, AttemptOutcome outcome, boolean fetchedInTime) {
    if (rules.keyFailures.explains(request.key(), outcome)) {
      return false;
    }
    return !attempt.isCountedLate() || (outcome.isAnswer() && fetchedInTime);
  }

  private void observeCacheLimit(
      RequestState request, AttemptState attempt, RoutingEvent.AttemptClosed end) {
    // Without hedging a request that is lost on its way ends as a timeout, which is no overload.
    boolean lost = end.outcome() == AttemptOutcome.TIMEOUT && !settings.permissions().hedging();
    if (attempt.server().outlier().ejected || lost) {
      return;
    }
    boolean rejected = end.outcome() == AttemptOutcome.REJECTED;
    double objectiveShare = rejected ? 1 : objectiveShare(request, end);
    double minLimit = Math.max(1, rules.ring.size()) / (double) settings.routerCount();
    rules
        .admission
        .cacheLimit()
        .observe(objectiveShare, rules.times.answerNanos().mean(), minLimit);
  }

  /** A fetch has ended, at the origin itself or through a cache. */
  void fetchEnded(RequestState request, AttemptState attempt, RoutingEvent.AttemptClosed end) {
    AttemptOutcome outcome = end.outcome();
    if (outcome.endedLocally()
        || attempt.server().outlier().ejected
        || isOfCacheAlone(attempt, outcome)) {
      return;
    }
    boolean answered = outcome == AttemptOutcome.OK;
    if (answered && end.cacheStatus() != CacheStatus.HIT) {
      rules.times.fetched(end.elapsedNanos());
    }
    double objectiveShare = answered ? objectiveShare(request, end) : 1;
    rules.admission.originLimit().observe(objectiveShare, rules.times.fetchNanos().mean(), 1);
  }

  /**
   * Whether the end tells of the cache alone: of what it does before it fetches. Counted against
   * the origin it would keep the origin's limit shut.
   */
  private static boolean isOfCacheAlone(AttemptState attempt, AttemptOutcome outcome) {
    return attempt.toCache()
        && (outcome.provesNoEffect()
            || outcome == AttemptOutcome.RESET
            || attempt.isServerSilentSince());
  }

  private static double objectiveShare(RequestState request, RoutingEvent.AttemptClosed end) {
    return end.elapsedNanos() / (double) request.type().latencyObjectiveNanos();
  }
}
