package beaconturn.agreement;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/**
 * Tracks which cache servers have been ejected for a while. At a low request rate a single late
 * response ejects a server until its next probes, a few tenths of a second later. If such short
 * ejections were published, they would block operations that wait for all servers to be in service,
 * and could roll back a release. Not thread-safe.
 */
public final class LastingEjections {
  private static final long LASTING_NANOS = 1_000_000_000;

  private final Map<String, Long> ejectedSinceNanos = new HashMap<>();

  /**
   * Whether a server that is ejected now has been ejected for at least a second. The time counts
   * from the first call for the server.
   *
   * @param nowNanos the time on a monotonic clock
   */
  public boolean isLasting(String server, long nowNanos) {
    long sinceNanos = ejectedSinceNanos.computeIfAbsent(server, s -> nowNanos);
    return nowNanos - sinceNanos >= LASTING_NANOS;
  }

  /** Removes all servers that are no longer ejected. */
  public void retainOnly(Collection<String> ejectedServers) {
    ejectedSinceNanos.keySet().retainAll(ejectedServers);
  }
}
