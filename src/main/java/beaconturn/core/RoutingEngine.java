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
 * The host of the routing policy: messages become its events, its actions reach clients, cache
 * servers and discovery. Decides nothing and does no I/O. Routing thread only, but for what the
 * router calls before that thread is started.
 */
public final class RoutingEngine {
  private static final Logger LOG = Logger.getLogger(RoutingEngine.class.getName());

  private final EngineContext context;
  private final AttemptRunner attempts;
  private final PolicyGenerations policies;
  private boolean stopping;

  /** An engine whose policy starts with the settings and the seed. */
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

  /** An engine for the policy that the factory makes, given what it acts through. */
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

  /** Handles one message and all that follows from it at once. */
  public void handle(RoutingMessage message) {
    if (message instanceof RoutingMessage.Urgent urgent) {
      handleUrgent(urgent);
    } else if (message instanceof RoutingMessage.RequestReceived received) {
      requestReceived(received.request());
    } else if (message instanceof RoutingMessage.ClientDisconnected left) {
      withdraw(context.requests().of(left.request()));
    } else if (message instanceof RoutingMessage.AttemptCompleted ended) {
      attempts.attemptEnded(ended.attempt(), ended.result());
    } else if (message instanceof RoutingMessage.StreamingStarted began) {
      attempts.streamingStarted(began);
    } else if (message instanceof RoutingMessage.WarmStartReceived received) {
      deliver(policies.current(), new RoutingEvent.WarmStarted(received.state()));
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
      LOG.info("new settings are in force");
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
    context.servers().follow(update);
    RoutingEvent.EndpointsUpdated event = update.event();
    // A list that failed is asked for again by one policy only, the one in force.
    Collection<HostedPolicy> recipients =
        event.kind() == EndpointListKind.FAILED ? List.of(policies.current()) : policies.all();
    recipients.forEach(policy -> deliver(policy, event));
  }

  private void override(RoutingMessage.OverrideRequested override) {
    boolean known =
        context
            .servers()
            .override(override.serverId(), override.excluded(), override.allowUnlisted());
    if (known) {
      deliverToAll(
          new RoutingEvent.OperatorOverrideChanged(
              override.serverId(), override.excluded(), override.atNanos()));
    }
    override.onApplied().accept(known);
  }

  private void stop() {
    stopping = true;
    for (RequestTable.RequestEntry open : context.requests().open()) {
      open.request().fail();
      withdraw(open);
    }
  }

  private void requestReceived(ClientRequest request) {
    long now = context.clock().now();
    context.metrics().requestReceived();
    HostedPolicy policy = stopping ? null : policies.of(request);
    if (policy == null) {
      // Never sent anywhere, so it may be asked again.
      request.reject(0);
      return;
    }
    long lastAnswerNanos =
        request.deadlineNanos() + policy.settings().safetyLimits().answerSlackNanos();
    RequestTable.RequestEntry entry =
        context
            .requests()
            .add(
                request,
                policy,
                added -> context.timers().at(lastAnswerNanos, () -> failUnanswered(added)));
    deliver(policy, arrivalOf(entry, now));
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
   * Guard against a request without an answer, which shows as a client that waits for its whole
   * time: whatever the policy forgets or fails on is answered as failed when its time is over.
   */
  private void failUnanswered(RequestTable.RequestEntry entry) {
    if (entry != null && !entry.isClosed()) {
      LOG.warning("request " + entry.request().id() + " had no answer from the module; failed");
      entry.request().fail();
      withdraw(entry);
    }
  }

  private void withdraw(RequestTable.RequestEntry entry) {
    if (entry != null && !entry.isClosed()) {
      context.requests().close(entry);
      deliver(entry.policy(), new RoutingEvent.RequestCancelled(entry.id()));
    }
  }

  /** Counts requests and attempts in these metrics from here on. */
  public void setMetrics(List<RequestMetrics> metrics) {
    context.metrics().setSinks(metrics);
  }

  /** Tells the metrics what the policy in force makes of the endpoint list. */
  public void reportServers(RequestMetrics metrics) {
    RoutingView view = policies.current().policy().view();
    metrics.serverCounts(view.listed(), view.avoided());
  }

  /** What the policy in force makes of each cache server that is listed. */
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

  /** What the policy in force has learned, for one that follows it. */
  public WarmStartState warmStartState() {
    return policies.current().policy().warmStartState();
  }

  /** Runs the timers that are due. */
  public void runDueTimers() {
    Runnable action = context.timers().takeDue(context.clock().now());
    while (action != null) {
      action.run();
      action = context.timers().takeDue(context.clock().now());
    }
    context.eventLog().check(context.clock().now());
  }

  /** How long until the next timer, in nanoseconds, at most the given time. */
  public long untilNextTimerNanos(long atMostNanos) {
    long now = context.clock().now();
    return Math.max(0, context.timers().next(now + atMostNanos) - now);
  }

  /** How many requests wait for their answer. */
  public int openRequests() {
    return context.requests().openCount();
  }
}
