package beaconturn.core;

import beaconturn.decision.AttemptOutcome;
import beaconturn.decision.CacheStatus;
import beaconturn.decision.RoutingEvent;
import java.util.logging.Logger;

/**
 * Sends attempts to cache servers and ends each of them exactly once: with a response, a failure, a
 * timeout or a cancellation. Confined to the routing thread.
 */
final class AttemptRunner {
  private static final Logger LOG = Logger.getLogger(RoutingEngine.class.getName());
  private final EngineContext context;

  AttemptRunner(EngineContext context) {
    this.context = context;
  }

  /**
   * Sends the request's next attempt.
   *
   * @param policy the policy that sends the attempt and is notified of its end
   * @param timeoutNanos how long the attempt may take; 0 for the time until the client's deadline
   */
  void send(HostedPolicy policy, long requestId, long serverId, long timeoutNanos) {
    RequestTable.RequestEntry entry = context.requests().get(requestId);
    int maxAttempts = policy.settings().permissions().maxAttempts();
    if (entry == null || entry.isClosed() || entry.attempts().size() >= maxAttempts) {
      LOG.warning(
          "attempt of request "
              + requestId
              + " not sent: the request is closed or has had all of its "
              + maxAttempts
              + " attempts");
      enqueueNotSent(policy, requestId, serverId, entry);
      return;
    }
    long nowNanos = context.clock().now();
    if (!entry.attempts().isEmpty()) {
      context.eventLog().retried(entry, () -> serverName(serverId), nowNanos);
    }
    long leftNanos = Math.max(0, entry.request().deadlineNanos() - nowNanos);
    long allowedNanos = timeoutNanos == 0 ? leftNanos : Math.min(leftNanos, timeoutNanos);
    OutboundAttempt attempt =
        context.requests().addAttempt(entry, serverId, nowNanos, allowedNanos);
    attempt.setTimeoutTimer(
        context.timers().at(attempt.timesOutAtNanos(), () -> timedOut(attempt)));
    if (!context.servers().send(attempt)) {
      endDuringAction(policy, attempt, entry, AttemptOutcome.CONNECT_FAILED);
    }
  }

  private void enqueueNotSent(
      HostedPolicy policy, long requestId, long serverId, RequestTable.RequestEntry entry) {
    int attemptNumber = entry == null ? 0 : entry.attempts().size();
    boolean closed = entry == null || entry.isClosed();
    context
        .dispatcher()
        .enqueue(
            policy,
            new RoutingEvent.AttemptClosed(
                requestId,
                0,
                closed,
                serverId,
                AttemptOutcome.SUPERSEDED,
                CacheStatus.NONE,
                attemptNumber,
                AttemptResult.NO_LOAD_REPORT));
  }

  private String serverName(long serverId) {
    CacheServerClients.ListedServer listed = context.servers().listed(serverId);
    return listed == null ? "an unlisted server" : listed.name();
  }

  private void timedOut(OutboundAttempt attempt) {
    attemptEnded(attempt, AttemptResult.of(AttemptOutcome.TIMEOUT, context.clock().now()));
  }

  /** Cancels one attempt of a request; no effect if the attempt has ended. */
  void cancel(HostedPolicy policy, long requestId, int attemptNumber) {
    RequestTable.RequestEntry entry = context.requests().get(requestId);
    if (entry == null || attemptNumber >= entry.attempts().size()) {
      return;
    }
    OutboundAttempt attempt = entry.attempts().get(attemptNumber);
    if (!attempt.hasEnded()) {
      endDuringAction(policy, attempt, entry, AttemptOutcome.CANCELLED);
      context.servers().abort(attempt);
    }
  }

  /**
   * Ends an attempt during an action of the policy, which is notified once it has handled the
   * current event.
   */
  private void endDuringAction(
      HostedPolicy policy,
      OutboundAttempt attempt,
      RequestTable.RequestEntry entry,
      AttemptOutcome outcome) {
    attempt.end(outcome);
    context.requests().attemptEnded(entry);
    context
        .dispatcher()
        .enqueue(
            policy,
            new RoutingEvent.AttemptClosed(
                attempt.requestId(),
                context.clock().now() - attempt.sentAtNanos(),
                entry.isClosed(),
                attempt.serverId(),
                outcome,
                CacheStatus.NONE,
                attempt.number(),
                AttemptResult.NO_LOAD_REPORT));
  }

  /**
   * Forwards a streamed response to the client if it is the request's first; a later response of
   * another attempt is cancelled.
   */
  void streamingStarted(RoutingMessage.StreamingStarted started) {
    OutboundAttempt attempt = started.attempt();
    RequestTable.RequestEntry entry = context.requests().get(attempt.requestId());
    if (attempt.hasEnded() || entry.isClosed() || entry.streamingAttempt() != null) {
      started.response().cancel();
      return;
    }
    attempt.responseStarted();
    entry.streamingStarted(attempt);
    entry.request().startStreaming(started.response());
    context
        .dispatcher()
        .deliver(
            entry.policy(),
            new RoutingEvent.ResponseStarted(
                attempt.requestId(),
                Math.max(0, started.startedAtNanos() - attempt.sentAtNanos()),
                attempt.serverId(),
                attempt.number()));
  }

  /**
   * Ends an attempt and, on success, completes its request; no effect if the attempt had already
   * ended.
   */
  void attemptEnded(OutboundAttempt attempt, AttemptResult result) {
    if (!attempt.end(result.outcome())) {
      return;
    }
    // Abort before the policy is notified: its next attempt must not overlap with this one.
    if (result.outcome() == AttemptOutcome.TIMEOUT) {
      context.servers().abort(attempt);
    }
    RequestTable.RequestEntry entry = context.requests().get(attempt.requestId());
    context.metrics().attemptEnded(entry, attempt, result);
    if (result.outcome() == AttemptOutcome.OK && !entry.isClosed()) {
      context.requests().close(entry);
      entry.request().respond(result.response());
    }
    boolean closed = entry.isClosed();
    context.requests().attemptEnded(entry);
    context
        .dispatcher()
        .deliver(
            entry.policy(),
            new RoutingEvent.AttemptClosed(
                attempt.requestId(),
                Math.max(0, result.endedAtNanos() - attempt.sentAtNanos()),
                closed,
                attempt.serverId(),
                result.outcome(),
                result.cacheStatus(),
                attempt.number(),
                result.loadReport()));
  }
}
