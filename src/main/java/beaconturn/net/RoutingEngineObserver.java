package beaconturn.net;

import beaconturn.core.CacheServerClients;
import beaconturn.core.RoutingEngine;
import beaconturn.decision.ServerStatus;
import java.util.Map;

/**
 * Publishes the state of the routing engine to metrics, other routers and the next process. {@link
 * #observe} runs on the routing thread, several times a second.
 */
final class RoutingEngineObserver {
  private final RouterInputs inputs;
  private final RouterMetrics metrics;
  private final ProcessHandover handover;

  RoutingEngineObserver(RouterInputs inputs, RouterMetrics metrics, ProcessHandover handover) {
    this.inputs = inputs;
    this.metrics = metrics;
    this.handover = handover;
  }

  /** Whether any of the recipients exists. */
  boolean isNeeded() {
    return metrics.isEnabled() || inputs.config().sharesListener() || inputs.hasFleetConfig();
  }

  /** Publishes the current state of the engine; never blocks. */
  void observe(RoutingEngine engine) {
    engine.reportServers(metrics.requests());
    if (inputs.hasFleetConfig()) {
      publishStatuses(engine.serverStatuses());
    }
    if (handover.isPeerRunning()) {
      handover.recordState(engine.warmStartState());
    }
  }

  private void publishStatuses(Map<CacheServerClients.ListedServer, ServerStatus> statuses) {
    inputs.fleetConfig().serverStatuses(statuses);
    if (metrics.health() != null) {
      metrics.health().setServers(statuses.keySet());
    }
    if (inputs.zoneWeights() != null) {
      inputs.zoneWeights().serverStatuses(statuses);
    }
  }
}
