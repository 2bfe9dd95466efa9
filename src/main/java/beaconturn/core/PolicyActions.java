package beaconturn.core;

import beaconturn.decision.GiveUpReason;
import beaconturn.decision.RoutingActions;
import beaconturn.decision.RoutingEvent;
import java.util.logging.Logger;

/** The actions of one policy, carried out at once. Routing thread only. */
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
  public void send(long request, long server, long allowFor) {
    attempts.send(policy, request, server, allowFor);
  }

  @Override
  public void cancel(long request, int attempt) {
    attempts.cancel(policy, request, attempt);
  }

  @Override
  public void reject(long request, long retryAfter, GiveUpReason why) {
    RequestTable.RequestEntry entry = context.requests().get(request);
    if (entry != null && !entry.isClosed()) {
      context.requests().close(entry);
      entry.request().rejected(retryAfter);
      context.eventLog().rejected(entry, why, context.clock().now());
    }
  }

  @Override
  public void fail(long request, GiveUpReason why) {
    RequestTable.RequestEntry entry = context.requests().get(request);
    if (entry != null && !entry.isClosed()) {
      context.requests().close(entry);
      entry.request().failed();
      context.eventLog().failed(entry, why, context.clock().now());
    }
  }

  @Override
  public void setTimer(long delay, long token) {
    context
        .timers()
        .at(
            context.clock().now() + delay,
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
  public void probe(long server) {
    LOG.warning("probes are not part of this protocol; none sent");
  }

  @Override
  public void sendToPeer(int peer, byte[] body) {
    LOG.warning("messages between routers are not in use; none sent");
  }

  @Override
  public void closeIdleConnections(long server) {
    context.servers().closeIdle(server);
  }

  @Override
  public void log(String text) {
    LOG.info("module: " + text);
  }
}
