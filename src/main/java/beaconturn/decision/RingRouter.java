package beaconturn.decision;

/**
 * Routing policy of one router: consistent hashing with bounded loads, protected against failures
 * of caches, keys, the origin and the endpoint list. Only dispatches events: {@link
 * RequestCoordinator} drives requests, {@link ServerRegistry} tracks servers, and each rule is a
 * class of its own (see {@link RouterRules}).
 *
 * <p>Not thread-safe; depends only on its settings, its seed and the events it receives.
 */
public final class RingRouter implements RoutingPolicy {
  private final RoutingSettings settings;
  private final RouterRules rules;
  private final RequestCoordinator coordinator;

  /**
   * Creates the successor of another router. Learned server state is kept by server id; everything
   * else is new. The predecessor may still complete its requests.
   */
  public RingRouter(
      RoutingSettings settings,
      long seed,
      long nowNanos,
      RoutingActions actions,
      RingRouter predecessor) {
    this(settings, seed, nowNanos, actions, !predecessor.settings.pollsDiscovery());
    rules.selector.setZoneWeights(predecessor.rules.selector.zoneWeights());
    rules.registry.continueFrom(predecessor.rules.registry);
    applyWarmStart(predecessor.warmStartState());
  }

  /** Creates a router without servers; the first endpoint list follows as an event. */
  public RingRouter(RoutingSettings settings, long seed, long nowNanos, RoutingActions actions) {
    this(settings, seed, nowNanos, actions, true);
  }

  private RingRouter(
      RoutingSettings settings,
      long seed,
      long nowNanos,
      RoutingActions actions,
      boolean subscribe) {
    this.settings = settings;
    this.rules = new RouterRules(settings, seed, nowNanos, actions);
    this.coordinator = new RequestCoordinator(settings, actions, rules);
    if (settings.pollsDiscovery() && subscribe) {
      rules.watch.subscribe();
    }
  }

  @Override
  public void handle(long nowNanos, RoutingEvent event) {
    rules.clock.moveTo(nowNanos);
    if (event instanceof RoutingEvent.RequestArrived arrival) {
      coordinator.requestArrived(arrival);
    } else if (event instanceof RoutingEvent.AttemptClosed closed) {
      coordinator.attemptClosed(closed);
    } else if (event instanceof RoutingEvent.TimerFired timer) {
      timerFired(TimerToken.decode(timer.token()));
    } else if (event instanceof RoutingEvent.RequestCancelled cancellation) {
      coordinator.requestCancelled(cancellation);
    } else if (event instanceof RoutingEvent.ResponseStarted started) {
      coordinator.responseStarted(started);
    } else if (event instanceof RoutingEvent.EndpointsUpdated list) {
      rules.registry.listUpdated(list);
    } else if (event instanceof RoutingEvent.OperatorOverrideChanged change) {
      rules.registry.overrideChanged(change);
    } else if (event instanceof RoutingEvent.ZoneWeightsChanged change) {
      rules.selector.setZoneWeights(change.weights());
    } else if (event instanceof RoutingEvent.WarmStarted start) {
      applyWarmStart(start.state());
    }
  }

  private void timerFired(TimerToken timer) {
    if (timer.kind() == TimerToken.TimerKind.RESUBSCRIBE) {
      rules.watch.subscribe();
    } else {
      coordinator.timerFired(timer);
    }
  }

  private void applyWarmStart(WarmStartState state) {
    rules.slowStart.warmStart(state.responsesPerNano(), state.peakResponsesPerNano());
    rules.times.warmStart(state.responseTimeNanos(), state.fetchTimeNanos());
    rules.admission.cacheLimit().warmStart(state.cacheLimit());
    rules.admission.originLimit().warmStart(state.originLimit());
  }

  @Override
  public WarmStartState warmStartState() {
    return new WarmStartState(
        rules.slowStart.responsesPerNano(),
        rules.slowStart.peakResponsesPerNano(),
        rules.times.responseNanos().mean(),
        rules.times.fetchNanos().mean(),
        rules.admission.cacheLimit().limit(),
        rules.admission.originLimit().limit());
  }

  @Override
  public RoutingView view() {
    return rules.registry.view(rules.slowStart);
  }
}
