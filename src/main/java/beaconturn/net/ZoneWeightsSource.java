package beaconturn.net;

import beaconturn.core.CacheServerClients;
import beaconturn.decision.ServerStatus;
import beaconturn.decision.ZoneWeights;
import beaconturn.stats.RequestMetrics;
import java.util.Map;

/**
 * To which places keys go, as decided with other routers; it runs on a thread of its own and hears
 * of attempts as they are counted. Not there, and nothing of it loaded, unless the operators' file
 * turns it on.
 */
public interface ZoneWeightsSource extends Runnable, RequestMetrics {
  /** The shares that are due; the same object as long as nothing changes. Any thread, no wait. */
  ZoneWeights due();

  /** What this router makes of each cache server; any thread, no wait. */
  void sees(Map<CacheServerClients.ListedServer, ServerStatus> caches);

  /** The router ends as planned. */
  void leave();
}
