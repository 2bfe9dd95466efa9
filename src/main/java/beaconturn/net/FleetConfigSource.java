package beaconturn.net;

import beaconturn.core.CacheServerClients;
import beaconturn.core.RouterSettings;
import beaconturn.decision.ServerStatus;
import java.util.Map;
import java.util.Set;

/**
 * What is agreed on with other routers, as the rest of a router knows it; it runs on a thread of
 * its own. Not there, and nothing of it loaded, unless the operators' file turns it on.
 */
public interface FleetConfigSource extends Runnable {
  /**
   * What is to be in force.
   *
   * @param settings of this router under it
   * @param out names of the cache servers that nothing new is sent to
   * @param oldestList older lists are not acted on
   * @param content what it was made of, for comparison
   * @param says which version it is, in words
   */
  record Force(
      RouterSettings settings, Set<String> out, long oldestList, Object content, String says) {
    /** Whether it means the same. */
    public boolean means(Object other, String words) {
      return content.equals(other) && says.equals(words);
    }
  }

  /**
   * Waits until the store has told what may be acted on, or has failed to, and not for long: a
   * router that serves before it has asked acts on what may be over. Called once, before the first
   * client is accepted.
   */
  void awaitFirst();

  /**
   * What is to be in force now; the same object as long as nothing changes. Any thread, no wait.
   */
  Force due();

  /** Lists before this one are not taken, by what is in force and by what was said yes to. */
  long oldestList();

  /** Discovery's list of that version has been handed to the module; any thread, no wait. */
  void hasList(long version);

  /** What the module has been put under; called on its thread. */
  void applied(Force force);

  /**
   * Whether what the module decided may still be written to a cache server: not where the lease
   * that it was decided under has ended and something else is due. Any thread, no wait.
   */
  boolean mayWrite();

  /**
   * What this router makes of each cache server, for whoever counts who is out; any thread, no
   * wait.
   */
  void sees(Map<CacheServerClients.ListedServer, ServerStatus> caches);

  /** The router ends as planned: nobody need wait for it. Takes a second at the most. */
  void leave();
}
