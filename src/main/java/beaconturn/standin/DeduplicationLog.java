package beaconturn.standin;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Records the idempotency keys of writes in each group of cache servers, so that a repeated write
 * has no second effect.
 */
public final class DeduplicationLog {
  private final Map<String, Map<String, Long>> expiryByKeyByGroup = new HashMap<>();

  /**
   * Records a write and returns whether it is the first with its idempotency key in the group
   * within the window.
   */
  boolean recordIfFirst(String group, String idempotencyKey, long windowNanos, long nowNanos) {
    Map<String, Long> expiryByKey =
        expiryByKeyByGroup.computeIfAbsent(group, g -> new LinkedHashMap<>());
    expiryByKey.values().removeIf(expiryNanos -> expiryNanos <= nowNanos);
    return expiryByKey.putIfAbsent(idempotencyKey, nowNanos + windowNanos) == null;
  }

  /** Removes a write that was recorded but did not run. */
  void forget(String group, String idempotencyKey) {
    expiryByKeyByGroup.getOrDefault(group, Map.of()).remove(idempotencyKey);
  }
}
