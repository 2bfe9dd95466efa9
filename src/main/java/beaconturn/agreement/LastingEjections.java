package beaconturn.agreement;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/**
 * Which ejections last. Where answers are rare one late answer ejects a cache server until its next
 * trials, some tenths of a second; told to a fleet, that would hold up whatever waits for all to be
 * in service, and take a release back for nothing. For one thread.
 */
public final class LastingEjections {
  private static final long LASTS = 1_000_000_000;
  private final Map<String, Long> since = new HashMap<>();

  /**
   * Whether a cache server that is ejected now, in nanoseconds of any clock, has been so for a
   * second.
   */
  public boolean isLasting(String id, long now) {
    return now - since.computeIfAbsent(id, i -> now) >= LASTS;
  }

  /** All that are not among these are ejected no more. */
  public void retainOnly(Collection<String> ejected) {
    since.keySet().retainAll(ejected);
  }
}
