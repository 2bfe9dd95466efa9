package beaconturn.net;

import beaconturn.core.CacheServerClients;
import beaconturn.decision.ServerStatus;
import beaconturn.decision.ZoneWeights;
import beaconturn.stats.RequestMetrics;
import java.util.Map;

/**
 * The source of the zone weights that routers agree on: to which zones keys go. It runs on a thread
 * of its own and hears of attempts as they are counted. Not there, and nothing of it loaded, unless
 * the operators' file turns it on.
 */
public interface ZoneWeightsSource extends Runnable, RequestMetrics {
  /**
   * The weights that are to be in force now; the same object as long as nothing changes. Any
   * thread, no wait.
   */
  ZoneWeights dueWeights();

  /** Takes this router's view of each cache server; any thread, no wait. */
  void serverStatuses(Map<CacheServerClients.ListedServer, ServerStatus> statuses);

  /** The router ends as planned. */
  void leave();
}
