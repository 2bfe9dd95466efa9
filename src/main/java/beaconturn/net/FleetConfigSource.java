package beaconturn.net;

import beaconturn.core.CacheServerClients;
import beaconturn.core.RouterSettings;
import beaconturn.decision.ServerStatus;
import java.util.Map;
import java.util.Set;

/**
 * The source of the configuration that routers agree on, as the rest of a router knows it; it runs
 * on a thread of its own. Not there, and nothing of it loaded, unless the operators' file turns it
 * on.
 */
public interface FleetConfigSource extends Runnable {
  /**
   * A configuration that is to be in force.
   *
   * @param settings of this router under it
   * @param excludedServers names of the cache servers that nothing new is sent to
   * @param oldestListVersion endpoint lists of earlier versions are not acted on
   * @param content what it was made of, for comparison
   * @param description which version it is, in words
   */
  record DueConfig(
      RouterSettings settings,
      Set<String> excludedServers,
      long oldestListVersion,
      Object content,
      String description) {
    /** Whether it was made of this content and is described so. */
    public boolean isSameAs(Object otherContent, String otherDescription) {
      return content.equals(otherContent) && description.equals(otherDescription);
    }
  }

  /**
   * Waits for a short time until the store has told what may be acted on, or has failed to: a
   * router that serves before it has asked would act on what may be over. Called once, before the
   * first client is accepted.
   */
  void awaitFirstConfig();

  /**
   * What is to be in force now; the same object as long as nothing changes. Any thread, no wait.
   */
  DueConfig dueConfig();

  /**
   * Lists before this version are not taken, by what is in force and by what was acked. Any thread,
   * no wait.
   */
  long oldestListVersion();

  /** A list of that version has been handed to the routing thread; any thread, no wait. */
  void listReceived(long version);

  /** What the routing engine has been put under; called on its thread. */
  void configApplied(DueConfig config);

  /**
   * Whether what the policy decided may still be written to a cache server: not where the lease
   * that it was decided under has ended and something else is due. Any thread, no wait.
   */
  boolean mayWrite();

  /**
   * Takes this router's view of each cache server, for whoever counts which are out; any thread, no
   * wait.
   */
  void serverStatuses(Map<CacheServerClients.ListedServer, ServerStatus> statuses);

  /** The router ends as planned: nobody need wait for it. Takes a second at the most. */
  void leave();
}
