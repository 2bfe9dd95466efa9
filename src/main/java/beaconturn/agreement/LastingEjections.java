package beaconturn.agreement;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/**
 * Tells which ejections last. Where answers are rare one late answer ejects a cache server until
 * its next trials, some tenths of a second; published to a fleet, that would hold up whatever waits
 * for all to be in service, and take a release back for nothing. For one thread.
 */
public final class LastingEjections {
  private static final long LASTING_NANOS = 1_000_000_000;

  private final Map<String, Long> ejectedSinceNanos = new HashMap<>();

  /**
   * Whether a cache server that is ejected now has been so for a second.
   *
   * @param nowNanos by any clock, always the same
   */
  public boolean isLasting(String server, long nowNanos) {
    long sinceNanos = ejectedSinceNanos.computeIfAbsent(server, s -> nowNanos);
    return nowNanos - sinceNanos >= LASTING_NANOS;
  }

  /** Forgets all that are not among these: they are ejected no more. */
  public void retainOnly(Collection<String> ejectedServers) {
    ejectedSinceNanos.keySet().retainAll(ejectedServers);
  }
}
