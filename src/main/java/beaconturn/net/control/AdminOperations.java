package beaconturn.net.control;

import beaconturn.stats.Metric;
import java.util.List;
import java.util.function.Consumer;

/**
 * The operations of a router that commands on the admin address reach. Called on the admin server's
 * thread; nothing here waits, whatever the load.
 */
public interface AdminOperations {
  /** Null once a request would be served, else in a few words why not. */
  String notReadyReason();

  /** The health metrics of this process and its cache servers, or null where there are none. */
  default List<Metric> health() {
    return null;
  }

  /**
   * Excludes a cache server, or has it used again.
   *
   * @param override what an operator said
   * @param fromElsewhere whether another process of this router was called; then it holds even for
   *     an id that nobody has yet
   * @param known hears, once the override has taken force, whether any cache server has that id; on
   *     a thread that must not be held up
   */
  void applyOverride(ServerOverride override, boolean fromElsewhere, Consumer<Boolean> known);
}
