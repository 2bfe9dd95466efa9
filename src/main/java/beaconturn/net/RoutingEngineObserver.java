package beaconturn.net;

import beaconturn.core.CacheServerClients;
import beaconturn.core.RoutingEngine;
import beaconturn.decision.ServerStatus;
import java.util.Map;

/**
 * Hands on what the routing engine knows to those who ask for it: metrics, other routers and the
 * next process. {@link #observe} runs on the routing thread, several times a second.
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

  /** Whether anybody asks for what the engine knows. */
  boolean isNeeded() {
    return metrics.hasReader() || inputs.config().sharesListener() || inputs.hasFleetConfig();
  }

  /** Hands on what the engine knows now; waits for nobody. */
  void observe(RoutingEngine engine) {
    engine.reportServers(metrics.requests());
    if (inputs.hasFleetConfig()) {
      handOnStatuses(engine.serverStatuses());
    }
    if (handover.isPeerRunning()) {
      handover.learned(engine.warmStartState());
    }
  }

  private void handOnStatuses(Map<CacheServerClients.ListedServer, ServerStatus> statuses) {
    inputs.fleetConfig().serverStatuses(statuses);
    if (metrics.health() != null) {
      metrics.health().servers(statuses.keySet());
    }
    if (inputs.zoneWeights() != null) {
      inputs.zoneWeights().serverStatuses(statuses);
    }
  }
}
