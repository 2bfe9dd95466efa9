package beaconturn.net;

import beaconturn.core.CacheServerClients;
import beaconturn.decision.ServerStatus;
import beaconturn.decision.ZoneWeights;
import beaconturn.stats.RequestMetrics;
import java.util.Map;

/**
 * Supplies the zone weights that routers agree on; runs on its own thread and receives attempts as
 * they are counted. Present, and its classes loaded, only where the operators' file enables zones.
 */
public interface ZoneWeightsSource extends Runnable, RequestMetrics {
  /**
   * The weights that are to be active now; the same object as long as nothing changes. For any
   * thread, never blocks.
   */
  ZoneWeights dueWeights();

  /** Reports this router's view of each cache server. For any thread, never blocks. */
  void serverStatuses(Map<CacheServerClients.ListedServer, ServerStatus> statuses);

  /** Leaves the fleet at a graceful shutdown. */
  void leave();
}
