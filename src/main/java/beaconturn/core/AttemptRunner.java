package beaconturn.core;

import beaconturn.decision.AttemptOutcome;
import beaconturn.decision.CacheStatus;
import beaconturn.decision.RoutingEvent;
import java.util.logging.Logger;

/**
 * Carries out attempts: sends them to cache servers, and ends each of them once, as it is answered,
 * fails, runs out of time or is cancelled. Routing thread only.
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
   * @param policy the policy that decided so; it hears of the attempt's end
   * @param timeoutNanos how long the attempt may take; 0 for all that its client waits
   */
  void send(HostedPolicy policy, long requestId, long serverId, long timeoutNanos) {
    RequestTable.RequestEntry entry = context.requests().get(requestId);
    int maxAttempts = policy.settings().permissions().maxAttempts();
    if (entry == null || entry.isClosed() || entry.attempts().size() >= maxAttempts) {
      LOG.warning("send for request " + requestId + ", which may not have it: not sent");
      enqueueNotSent(policy, requestId, serverId, entry);
      return;
    }
    long now = context.clock().now();
    if (!entry.attempts().isEmpty()) {
      context.eventLog().retried(entry, () -> serverName(serverId), now);
    }
    long leftNanos = Math.max(0, entry.request().deadlineNanos() - now);
    long allowedNanos = timeoutNanos == 0 ? leftNanos : Math.min(leftNanos, timeoutNanos);
    OutboundAttempt attempt = context.requests().addAttempt(entry, serverId, now, allowedNanos);
    attempt.timeout(context.timers().at(attempt.timesOutAtNanos(), () -> timedOut(attempt)));
    if (!context.servers().send(attempt)) {
      endWhileDeciding(policy, attempt, entry, AttemptOutcome.CONNECT_FAILED);
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
    return listed == null ? "a server that is not listed" : listed.name();
  }

  private void timedOut(OutboundAttempt attempt) {
    attemptEnded(attempt, AttemptResult.of(AttemptOutcome.TIMEOUT, context.clock().now()));
  }

  /** Cancels one attempt of a request; without effect if it is over. */
  void cancel(HostedPolicy policy, long requestId, int attemptNumber) {
    RequestTable.RequestEntry entry = context.requests().get(requestId);
    if (entry == null || attemptNumber >= entry.attempts().size()) {
      return;
    }
    OutboundAttempt attempt = entry.attempts().get(attemptNumber);
    if (!attempt.hasEnded()) {
      endWhileDeciding(policy, attempt, entry, AttemptOutcome.CANCELLED);
      context.servers().abort(attempt);
    }
  }

  /**
   * Ends an attempt while the policy acts: it hears of it once it has handled the event at hand.
   */
  private void endWhileDeciding(
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
   * Passes on an answer that has begun. The first attempt whose answer begins has the request; any
   * other's answer is cancelled.
   */
  void streamingStarted(RoutingMessage.StreamingStarted began) {
    OutboundAttempt attempt = began.attempt();
    RequestTable.RequestEntry entry = context.requests().get(attempt.requestId());
    if (attempt.hasEnded() || entry.isClosed() || entry.streamingAttempt() != null) {
      began.response().cancel();
      return;
    }
    attempt.responseStarted();
    entry.streamingStarted(attempt);
    entry.request().startStreaming(began.response());
    context
        .dispatcher()
        .deliver(
            entry.policy(),
            new RoutingEvent.ResponseStarted(
                attempt.requestId(),
                Math.max(0, began.startedAtNanos() - attempt.sentAtNanos()),
                attempt.serverId(),
                attempt.number()));
  }

  /** Ends an attempt and answers its request if it can; without effect if it had ended before. */
  void attemptEnded(OutboundAttempt attempt, AttemptResult result) {
    if (!attempt.end(result.outcome())) {
      return;
    }
    // On the wire first: what the policy sends next must not meet an attempt that is still out.
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
