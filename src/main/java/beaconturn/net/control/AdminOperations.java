package beaconturn.net.control;

import beaconturn.stats.Metric;
import java.util.List;
import java.util.function.Consumer;

/**
 * Operations of a router that are available on the admin address. Called on the admin server's
 * thread; implementations must not block.
 */
public interface AdminOperations {
  /** Returns null if the router serves requests, else the reason why not. */
  String notReadyReason();

  /** Returns health metrics of this process and its cache servers, or null if there are none. */
  default List<Metric> health() {
    return null;
  }

  /**
   * Excludes a cache server or includes it again.
   *
   * @param override the operator's override
   * @param fromOtherProcess whether another process of this router received the override; it then
   *     applies even if no server with the id is known yet
   * @param known called once the override is applied, with whether a server with the id is known;
   *     must not block the calling thread
   */
  void applyOverride(ServerOverride override, boolean fromOtherProcess, Consumer<Boolean> known);
}
