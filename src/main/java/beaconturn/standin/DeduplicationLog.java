package beaconturn.standin;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/** What groups of cache servers remember of keyed writes, so that a repeat has no second effect. */
public final class DeduplicationLog {
  private final Map<String, Map<String, Long>> expiryByKeyByGroup = new HashMap<>();

  /**
   * Whether the write is the first of its key in the group within the window; it is remembered from
   * now on.
   */
  boolean first(String group, String once, long window, long now) {
    Map<String, Long> seen = expiryByKeyByGroup.computeIfAbsent(group, g -> new LinkedHashMap<>());
    seen.values().removeIf(until -> until <= now);
    return seen.putIfAbsent(once, now + window) == null;
  }

  /** The write did not run after all; the next one of its key does. */
  void forget(String group, String once) {
    expiryByKeyByGroup.getOrDefault(group, Map.of()).remove(once);
  }
}
