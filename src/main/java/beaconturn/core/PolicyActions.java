package beaconturn.core;

import beaconturn.decision.GiveUpReason;
import beaconturn.decision.RoutingActions;
import beaconturn.decision.RoutingEvent;
import java.util.logging.Logger;

/** Carries out the actions of one policy immediately. Confined to the routing thread. */
final class PolicyActions implements RoutingActions {
  private static final Logger LOG = Logger.getLogger(RoutingEngine.class.getName());
  private final HostedPolicy policy;
  private final AttemptRunner attempts;
  private final EngineContext context;

  PolicyActions(HostedPolicy policy, AttemptRunner attempts, EngineContext context) {
    this.policy = policy;
    this.attempts = attempts;
    this.context = context;
  }

  @Override
  public void send(long requestId, long serverId, long timeoutNanos) {
    attempts.send(policy, requestId, serverId, timeoutNanos);
  }

  @Override
  public void cancel(long requestId, int attempt) {
    attempts.cancel(policy, requestId, attempt);
  }

  @Override
  public void reject(long requestId, long retryAfterNanos, GiveUpReason reason) {
    RequestTable.RequestEntry entry = context.requests().get(requestId);
    if (entry != null && !entry.isClosed()) {
      context.requests().close(entry);
      entry.request().reject(retryAfterNanos);
      context.eventLog().rejected(entry, reason, context.clock().now());
    }
  }

  @Override
  public void fail(long requestId, GiveUpReason reason) {
    RequestTable.RequestEntry entry = context.requests().get(requestId);
    if (entry != null && !entry.isClosed()) {
      context.requests().close(entry);
      entry.request().fail();
      context.eventLog().failed(entry, reason, context.clock().now());
    }
  }

  @Override
  public void setTimer(long delayNanos, long token) {
    context
        .timers()
        .at(
            context.clock().now() + delayNanos,
            () -> context.dispatcher().deliver(policy, new RoutingEvent.TimerFired(token)));
  }

  @Override
  public void watchEndpoints(boolean on) {
    context.discovery().watch(on);
  }

  @Override
  public void fetchEndpoints() {
    context.discovery().fetch();
  }

  @Override
  public void probe(long serverId) {
    LOG.warning("probe not sent: the protocol has no probes");
  }

  @Override
  public void sendToPeer(int peer, byte[] body) {
    LOG.warning("message to another router not sent: routers do not exchange messages");
  }

  @Override
  public void closeIdleConnections(long serverId) {
    context.servers().closeIdle(serverId);
  }

  @Override
  public void log(String text) {
    LOG.info("routing policy: " + text);
  }
}
