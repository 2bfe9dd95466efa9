package beaconturn.net.control;

import beaconturn.stats.Counters;
import java.util.List;
import java.util.function.Consumer;

/** What the calls reach in the router; nothing here waits, whatever the load. */
public interface AdminOperations {
  /** Null once a request would be served, else in a few words why not. */
  String notReady();

  /** How this process and the cache servers that it uses do, or null where nobody is to ask. */
  default List<Counters.Figure> health() {
    return null;
  }

  /**
   * Has a cache server left out, or used again; {@code known} hears, on a thread that must not be
   * held up, whether anybody has that id, once it has taken force. A call that is {@code told} by
   * another process of this router holds even for an id that nobody has yet.
   */
  void hand(ServerOverride hand, boolean told, Consumer<Boolean> known);
}
