package beaconturn.net;

import beaconturn.core.CacheServerClients;
import beaconturn.core.RouterSettings;
import beaconturn.decision.ServerStatus;
import java.util.Map;
import java.util.Set;

/**
 * Supplies the configuration that routers agree on; runs on its own thread. Present, and its
 * classes loaded, only where the operators' file enables agreement.
 */
public interface FleetConfigSource extends Runnable {
  /**
   * A configuration that is to be active.
   *
   * @param settings the settings of this router under the configuration
   * @param excludedServers names of the cache servers that receive no new requests
   * @param oldestListVersion endpoint lists of earlier versions are ignored
   * @param content the agreed content that the settings were derived from, for comparison
   * @param description the version of the configuration, as text for the log
   */
  record DueConfig(
      RouterSettings settings,
      Set<String> excludedServers,
      long oldestListVersion,
      Object content,
      String description) {
    /** Whether the configuration was derived from this content and has this description. */
    public boolean isSameAs(Object otherContent, String otherDescription) {
      return content.equals(otherContent) && description.equals(otherDescription);
    }
  }

  /**
   * Waits a short time until the store has reported the configuration or its read has failed: a
   * router that served earlier could act on an expired configuration. Called once, before the first
   * client is accepted.
   */
  void awaitFirstConfig();

  /**
   * The configuration that is to be active now; the same object as long as nothing changes. For any
   * thread, never blocks.
   */
  DueConfig dueConfig();

  /**
   * The oldest endpoint list version accepted under the active and the acknowledged configuration.
   * For any thread, never blocks.
   */
  long oldestListVersion();

  /**
   * Reports that an endpoint list of that version was passed to the routing thread. For any thread,
   * never blocks.
   */
  void listReceived(long version);

  /** Reports that the configuration was applied to the routing engine. Routing thread only. */
  void configApplied(DueConfig config);

  /**
   * Whether decisions of the policy may still be sent to a cache server: false if the lease that
   * they were made under has expired and another configuration is due. For any thread, never
   * blocks.
   */
  boolean mayWrite();

  /**
   * Reports this router's view of each cache server, from which unavailable servers are counted.
   * For any thread, never blocks.
   */
  void serverStatuses(Map<CacheServerClients.ListedServer, ServerStatus> statuses);

  /**
   * Leaves the fleet at a graceful shutdown, so that the other routers need not wait for this one.
   * Blocks for at most a second.
   */
  void leave();
}
