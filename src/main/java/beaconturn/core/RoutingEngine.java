package beaconturn.core;

import beaconturn.decision.EndpointListKind;
import beaconturn.decision.RingRouter;
import beaconturn.decision.RoutingActions;
import beaconturn.decision.RoutingEvent;
import beaconturn.decision.RoutingPolicy;
import beaconturn.decision.RoutingSettings;
import beaconturn.decision.RoutingView;
import beaconturn.decision.ServerStatus;
import beaconturn.decision.WarmStartState;
import beaconturn.stats.RequestMetrics;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.logging.Logger;

/**
 * Hosts the routing policy: maps messages to policy events and carries out the policy's actions on
 * clients, cache servers and discovery. Makes no routing decisions and does no I/O. Confined to the
 * routing thread; the router may call it before that thread starts.
 */
public final class RoutingEngine {
  private static final Logger LOG = Logger.getLogger(RoutingEngine.class.getName());

  private final EngineContext context;
  private final AttemptRunner attempts;
  private final PolicyGenerations policies;
  private boolean stopping;

  /** Creates an engine that runs a {@link RingRouter} with the given settings and random seed. */
  public RoutingEngine(
      RoutingSettings settings,
      long seed,
      Clock clock,
      CacheServerClients servers,
      EndpointDiscovery discovery) {
    this(
        settings,
        clock,
        servers,
        discovery,
        out -> new RingRouter(settings, seed, clock.now(), out));
  }

  /** Creates an engine for the policy that the factory builds on the given actions. */
  public RoutingEngine(
      RoutingSettings settings,
      Clock clock,
      CacheServerClients servers,
      EndpointDiscovery discovery,
      Function<RoutingActions, RoutingPolicy> factory) {
    RequestTable requests = new RequestTable();
    this.context =
        new EngineContext(
            clock,
            servers,
            discovery,
            requests,
            new TimerQueue(),
            new EventDispatcher(clock, requestId -> failUnanswered(requests.get(requestId))),
            new RequestEventLog(),
            new AttemptMetrics());
    this.attempts = new AttemptRunner(context);
    this.policies = new PolicyGenerations(policy -> new PolicyActions(policy, attempts, context));
    policies.add(settings, factory);
  }

  /** Handles one message, including all policy events that it causes. */
  public void handle(RoutingMessage message) {
    if (message instanceof RoutingMessage.Urgent urgent) {
      handleUrgent(urgent);
    } else if (message instanceof RoutingMessage.RequestReceived received) {
      requestReceived(received.request());
    } else if (message instanceof RoutingMessage.ClientDisconnected disconnected) {
      clientDisconnected(context.requests().of(disconnected.request()));
    } else if (message instanceof RoutingMessage.AttemptCompleted completed) {
      attemptCompleted(completed);
    } else if (message instanceof RoutingMessage.StreamingStarted started) {
      attempts.streamingStarted(started);
    } else if (message instanceof RoutingMessage.WarmStartReceived received) {
      deliver(policies.current(), new RoutingEvent.WarmStarted(received.state()));
    }
  }

  private void attemptCompleted(RoutingMessage.AttemptCompleted completed) {
    try {
      attempts.attemptEnded(completed.attempt(), completed.result());
    } finally {
      completed.attempt().resultHandled();
    }
  }

  private void handleUrgent(RoutingMessage.Urgent message) {
    if (message instanceof RoutingMessage.EndpointUpdateReceived received) {
      endpointsUpdated(received.update());
    } else if (message instanceof RoutingMessage.OverrideRequested override) {
      override(override);
    } else if (message instanceof RoutingMessage.ZoneWeightsReceived received) {
      deliverToAll(new RoutingEvent.ZoneWeightsChanged(received.weights()));
    } else if (message instanceof RoutingMessage.SettingsReplaced replaced) {
      policies.replace(replaced.settings(), replaced.seed(), context.clock().now());
      LOG.info("routing settings replaced; new requests use the new settings");
    } else if (message instanceof RoutingMessage.StopRequested) {
      stop();
    }
  }

  private void deliver(HostedPolicy policy, RoutingEvent event) {
    context.dispatcher().deliver(policy, event);
  }

  private void deliverToAll(RoutingEvent event) {
    policies.all().forEach(policy -> deliver(policy, event));
  }

  private void endpointsUpdated(EndpointUpdate update) {
    context.servers().applyUpdate(update);
    RoutingEvent.EndpointsUpdated event = update.event();
    // Only the current policy retries a failed call to discovery.
    Collection<HostedPolicy> recipients =
        event.kind() == EndpointListKind.FAILED ? List.of(policies.current()) : policies.all();
    recipients.forEach(policy -> deliver(policy, event));
  }

  private void override(RoutingMessage.OverrideRequested override) {
    boolean applied =
        context
            .servers()
            .override(override.serverId(), override.excluded(), override.allowUnlisted());
    if (applied) {
      deliverToAll(
          new RoutingEvent.OperatorOverrideChanged(
              override.serverId(), override.excluded(), override.atNanos()));
    }
    override.onApplied().accept(applied);
  }

  private void stop() {
    stopping = true;
    for (RequestTable.RequestEntry open : context.requests().open()) {
      open.request().fail();
      cancel(open);
    }
  }

  private void requestReceived(ClientRequest request) {
    long nowNanos = context.clock().now();
    context.metrics().requestReceived();
    HostedPolicy policy = stopping ? null : policies.of(request);
    if (policy == null) {
      // No attempt was made, so the client may safely retry.
      request.reject(0);
      return;
    }
    long responseDeadlineNanos =
        request.deadlineNanos() + policy.settings().safetyLimits().responseSlackNanos();
    RequestTable.RequestEntry entry =
        context
            .requests()
            .add(
                request,
                policy,
                added -> context.timers().at(responseDeadlineNanos, () -> failUnanswered(added)));
    deliver(policy, arrivalOf(entry, nowNanos));
  }

  private static RoutingEvent.RequestArrived arrivalOf(
      RequestTable.RequestEntry entry, long nowNanos) {
    RequestDescription description = entry.request().description();
    return new RoutingEvent.RequestArrived(
        entry.id(),
        description.tenantIndex(),
        description.workHintNanos(),
        description.keyHash(),
        description.classIndex(),
        entry.request().deadlineNanos() - nowNanos,
        description.clientRetry(),
        description.write(),
        description.size());
  }

  /**
   * Fails a request that the policy has not completed by its deadline or whose arrival it failed to
   * handle, so that a defect of the policy leaves no client without a response.
   */
  private void failUnanswered(RequestTable.RequestEntry entry) {
    if (entry != null && !entry.isClosed()) {
      LOG.warning("request " + entry.request().id() + " failed: not completed by routing policy");
      entry.request().fail();
      cancel(entry);
    }
  }

  private void clientDisconnected(RequestTable.RequestEntry entry) {
    if (entry != null && !entry.isClosed()) {
      context.eventLog().cancelled(entry, context.clock().now());
      cancel(entry);
    }
  }

  private void cancel(RequestTable.RequestEntry entry) {
    if (entry != null && !entry.isClosed()) {
      context.requests().close(entry);
      deliver(entry.policy(), new RoutingEvent.RequestCancelled(entry.id()));
    }
  }

  /** Sets the metrics in which requests and attempts are counted from now on. */
  public void setMetrics(List<RequestMetrics> metrics) {
    context.metrics().setSinks(metrics);
  }

  /** Reports how many cache servers the current policy lists and avoids. */
  public void reportServers(RequestMetrics metrics) {
    RoutingView view = policies.current().policy().view();
    metrics.serverCounts(view.listed(), view.avoided());
  }

  /** The status that the current policy assigns to each listed cache server. */
  public Map<CacheServerClients.ListedServer, ServerStatus> serverStatuses() {
    Map<CacheServerClients.ListedServer, ServerStatus> statuses = new LinkedHashMap<>();
    RoutingView view = policies.current().policy().view();
    view.servers()
        .forEach(
            (serverId, status) -> {
              CacheServerClients.ListedServer listed = context.servers().listed(serverId);
              if (listed != null) {
                statuses.put(listed, status);
              }
            });
    return statuses;
  }

  /** The state that the current policy hands over to the policy of a successor process. */
  public WarmStartState warmStartState() {
    return policies.current().policy().warmStartState();
  }

  public void runDueTimers() {
    Runnable action = context.timers().takeDue(context.clock().now());
    while (action != null) {
      action.run();
      action = context.timers().takeDue(context.clock().now());
    }
    context.eventLog().check(context.clock().now());
  }

  /** The time until the next timer is due, at most {@code maxNanos}. */
  public long untilNextTimerNanos(long maxNanos) {
    long nowNanos = context.clock().now();
    return Math.max(0, context.timers().next(nowNanos + maxNanos) - nowNanos);
  }

  /** The number of requests that have no response yet. */
  public int openRequests() {
    return context.requests().openCount();
  }
}
