package beaconturn.decision;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Drives each request from arrival to completion: consults the rules at every step and carries out
 * their decisions. Owns all open requests. The step that follows an attempt is decided in {@code
 * continueAfter}.
 */
final class RequestCoordinator implements RequestDispatcher {
  /** Attempt index that stands for no attempt. */
  private static final int NO_ATTEMPT = -1;

  private final RoutingSettings settings;
  private final RoutingActions actions;
  private final RouterRules rules;
  private final OriginFetches fetches;
  private final boolean cacheAside;
  private final Map<Long, RequestState> requests = new LinkedHashMap<>();

  RequestCoordinator(RoutingSettings settings, RoutingActions actions, RouterRules rules) {
    this.settings = settings;
    this.actions = actions;
    this.rules = rules;
    this.cacheAside = settings.origin().cacheAside();
    this.fetches = new OriginFetches(settings, actions, rules, this);
  }

  void requestArrived(RoutingEvent.RequestArrived arrival) {
    RequestState request = newRequest(arrival);
    requests.put(request.id(), request);
    rules.retries.requestArrived();
    GiveUpReason rejection = rules.admission.rejection(request);
    if (rejection != null) {
      giveUp(request, rejection);
    } else if (cacheAside && request.isWrite()) {
      fetches.sendToOrigin(request);
    } else if (!fetches.joinFetch(request)) {
      sendToCache(request);
    }
  }

  private RequestState newRequest(RoutingEvent.RequestArrived arrival) {
    RequestClass requestClass = settings.classes().get(arrival.requestClass());
    long logicalRequest = rules.clientRetries.logicalRequest(arrival);
    long objectiveEndNanos =
        rules.clientRetries.objectiveEndNanos(arrival, requestClass, logicalRequest);
    long deadlineNanos = rules.clock.nowNanos() + arrival.remainingNanos();
    // In cache-aside mode, an attempt is cut off when its response has lost its value: the cache
    // would otherwise keep working on it and delay the next request. In read-through mode, cutting
    // it off would waste the fetch of the cache.
    boolean cutAtObjective = cacheAside && requestClass.isWorthlessWhenLate();
    long dueNanos = cutAtObjective ? Math.min(deadlineNanos, objectiveEndNanos) : deadlineNanos;
    return new RequestState(
        arrival,
        requestClass,
        new RequestTimes(deadlineNanos, objectiveEndNanos, dueNanos),
        logicalRequest,
        rules.quotas.isBeyondQuota(arrival.tenant()),
        rules.keySpread.requestArrived(arrival.key(), arrival.write()),
        rules.times.workRatio(arrival.workHintNanos()));
  }

  void requestCancelled(RoutingEvent.RequestCancelled cancellation) {
    RequestState request = requests.get(cancellation.requestId());
    if (request != null) {
      conclude(request, false);
    }
  }

  /**
   * Handles the start of a streamed response: the request's other attempts are cancelled. The rest
   * of the response is paced by the client, and a read-through cache already has the object, so
   * that the attempt no longer counts against the limits and requests waiting for the key proceed.
   */
  void responseStarted(RoutingEvent.ResponseStarted started) {
    RequestState request = requests.get(started.requestId());
    if (request == null) {
      return;
    }
    request.startStreaming();
    cancelOpenAttempts(request, started.attempt());
    if (!cacheAside) {
      AttemptState attempt = request.attempts().get(started.attempt());
      request.setKeyHolder(attempt.server());
      rules.admission.attemptServed(attempt);
      fetches.fetchEnded(request, true);
      fetches.sendQueued();
    }
  }

  void attemptClosed(RoutingEvent.AttemptClosed closed) {
    RequestState request = requests.get(closed.requestId());
    if (request == null
        || closed.attempt() >= request.attempts().size()
        || !request.attempts().get(closed.attempt()).isOpen()) {
      return;
    }
    AttemptState attempt = request.attempts().get(closed.attempt());
    attempt.close(closed.outcome());
    rules.admission.attemptServed(attempt);
    rules.load.attemptEnded(attempt);
    rules.registry.attemptEnded(attempt, closed.outcome());
    if (attempt.toCache()) {
      rules.feedback.cacheAttemptEnded(request, attempt, closed);
    }
    if (attempt.fetchesFromOrigin()) {
      rules.feedback.fetchEnded(request, attempt, closed);
    }
    continueAfter(request, attempt, closed);
    fetches.sendQueued();
  }

  void timerFired(TimerToken timer) {
    RequestState request = requests.get(timer.requestId());
    if (request == null || request.isDone()) {
      return;
    }
    if (timer.kind() == TimerToken.TimerKind.ATTEMPT_LATE
        && timer.attempt() < request.attempts().size()) {
      attemptLate(request, request.attempts().get(timer.attempt()));
    } else if (timer.kind() == TimerToken.TimerKind.QUEUE_TIMEOUT
        && request.isQueued()
        && !request.hasOpenAttempt()) {
      giveUp(request, GiveUpReason.QUEUE_TIMEOUT);
    }
  }

  private void continueAfter(
      RequestState request, AttemptState attempt, RoutingEvent.AttemptClosed closed) {
    if (request.isDone()) {
      if (!request.hasOpenAttempt()) {
        requests.remove(request.id());
      }
    } else if (request.isRerouting() && closed.outcome() == AttemptOutcome.CANCELLED) {
      request.setRerouting(false);
      retry(request, attempt);
    } else if (closed.requestClosed()) {
      if (attempt.toCache() && !cacheAside) {
        request.setKeyHolder(attempt.server());
      }
      conclude(request, closed.outcome() == AttemptOutcome.OK);
    } else {
      continueOpenRequest(request, attempt, closed.outcome());
    }
  }

  /** Decides what follows an attempt that did not complete its request. */
  private void continueOpenRequest(
      RequestState request, AttemptState attempt, AttemptOutcome outcome) {
    if (rules.clock.nowNanos() >= request.dueNanos()) {
      // An event handled one tick late may leave no time, and a queued request would then be lost.
      giveUp(request, GiveUpReason.TOO_LATE);
    } else if (outcome == AttemptOutcome.MISS && attempt.toCache()) {
      if (request.keyHolder() == null) {
        request.setKeyHolder(attempt.server());
      }
      if (!request.hasOpenAttempt()) {
        fetches.fetch(request, null);
      }
    } else if (!request.hasOpenAttempt() && !request.isQueued()) {
      retry(request, attempt);
    }
  }

  private void retry(RequestState request, AttemptState failed) {
    if (!rules.retries.allowsRetry(request, failed)) {
      giveUp(request, GiveUpReason.RETRY_NOT_EARNED);
      return;
    }
    rules.retries.spend();
    sendToCache(request);
  }

  private void attemptLate(RequestState request, AttemptState attempt) {
    if (!attempt.isOpen() || request.isStreaming()) {
      return;
    }
    rules.feedback.attemptLate(attempt);
    HedgingPolicy.LateAction action = rules.hedging.actionWhenLate(request, attempt);
    if (action == HedgingPolicy.LateAction.HEDGE) {
      hedge(request);
    } else if (action == HedgingPolicy.LateAction.REROUTE) {
      request.setRerouting(true);
      cancelOpenAttempts(request, NO_ATTEMPT);
    }
  }

  private void hedge(RequestState request) {
    ServerState cache = rules.selector.select(request);
    if (cache != null) {
      rules.retries.spend();
      send(request, cache, fetches.cacheWillFetch(request, cache));
    }
  }

  @Override
  public void sendToCache(RequestState request) {
    ServerState cache = rules.selector.select(request);
    if (cache == null) {
      giveUp(request, GiveUpReason.NO_SERVER);
    } else if (fetches.cacheWillFetch(request, cache)) {
      fetches.fetch(request, cache);
    } else {
      send(request, cache, false);
    }
  }

  @Override
  public void send(RequestState request, ServerState server, boolean fetchesFromOrigin) {
    if (!rules.guard.allows(request, server)) {
      giveUp(request, GiveUpReason.NO_FURTHER_ATTEMPT);
      return;
    }
    long nowNanos = rules.clock.nowNanos();
    boolean toCache = !rules.registry.isOrigin(server);
    AttemptState attempt = new AttemptState(server, nowNanos, toCache, fetchesFromOrigin);
    request.attempts().add(attempt);
    request.setQueued(false);
    rules.load.attemptStarted(attempt);
    rules.admission.attemptStarted(attempt);
    actions.send(request.id(), server.id(), Math.max(nowNanos + 1, request.dueNanos()) - nowNanos);
    if (toCache) {
      rules.slowStart.spend(server);
      setLateTimer(request, fetchesFromOrigin);
    }
  }

  private void setLateTimer(RequestState request, boolean fetchesFromOrigin) {
    long lateAfterNanos = rules.hedging.lateAfterNanos(request, fetchesFromOrigin);
    if (rules.hedging.isLateBeforeDue(request, lateAfterNanos)) {
      int attempt = request.attempts().size() - 1;
      actions.setTimer(lateAfterNanos, TimerToken.attemptLate(request.id(), attempt).encode());
    }
  }

  /**
   * Gives a request up: rejects it if a client retry is harmless, otherwise fails it. All requests
   * that the policy gives up pass through here.
   */
  @Override
  public void giveUp(RequestState request, GiveUpReason reason) {
    if (request.isDone()) {
      return;
    }
    if (rules.giveUps.isRejectionSafe(request)) {
      actions.reject(request.id(), rules.giveUps.retryAfterNanos(request), reason);
    } else {
      actions.fail(request.id(), reason);
    }
    conclude(request, false);
  }

  /**
   * Completes a request: cancels its open attempts and releases the requests that wait for its
   * fetch. Does nothing if the request is already done.
   */
  private void conclude(RequestState request, boolean succeeded) {
    if (request.isDone()) {
      return;
    }
    request.finish();
    if (!succeeded) {
      rules.clientRetries.requestUnanswered(request);
    }
    cancelOpenAttempts(request, NO_ATTEMPT);
    fetches.requestEnded(request, succeeded);
    if (!request.hasOpenAttempt()) {
      requests.remove(request.id());
    }
  }

  private void cancelOpenAttempts(RequestState request, int except) {
    if (!settings.permissions().cancel()) {
      return;
    }
    for (int i = 0; i < request.attempts().size(); i++) {
      if (i != except && request.attempts().get(i).isOpen()) {
        actions.cancel(request.id(), i);
      }
    }
  }
}
