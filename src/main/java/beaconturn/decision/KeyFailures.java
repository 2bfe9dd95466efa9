package beaconturn.decision;

import java.util.Map;
import java.util.SplittableRandom;

/**
 * Counts, for each key, the consecutive caches that failed it since the last successful attempt.
 * Timeouts and attempts without effect do not count.
 */
final class KeyFailures {
  /** Number of consecutive failing caches after which the key itself is considered at fault. */
  private static final int MIN_FAILED_CACHES_FOR_KEY_FAULT = 2;

  private final Map<Long, Failures> failuresByKey = new LruMap<>(LruMap.DEFAULT_CAPACITY);

  /**
   * The last cache that failed the key, and the number of consecutive failures at different caches.
   */
  private record Failures(long lastServerId, int caches) {}

  /** Records the end of an attempt for the key. */
  void attemptEnded(long key, long serverId, AttemptOutcome outcome) {
    if (outcome.isSuccessOrMiss()) {
      failuresByKey.remove(key);
    } else if (outcome == AttemptOutcome.ERROR || outcome == AttemptOutcome.RESET) {
      Failures failures = failuresByKey.get(key);
      if (failures == null || failures.lastServerId() != serverId) {
        failuresByKey.put(key, new Failures(serverId, failedCaches(key) + 1));
      }
    }
  }

  /** Returns at how many consecutive caches the key has failed; 0 for requests without a key. */
  private int failedCaches(long key) {
    Failures failures = key == 0 ? null : failuresByKey.get(key);
    return failures == null ? 0 : failures.caches();
  }

  /** Whether the key, rather than the caches, is considered at fault. */
  boolean isKeyAtFault(long key) {
    return failedCaches(key) >= MIN_FAILED_CACHES_FOR_KEY_FAULT;
  }

  /**
   * Decides at random whether a request for a key at fault is rejected: after failures at N caches,
   * one request in N is admitted. Draws from the random source only if the key is at fault.
   */
  boolean isRejectionDrawn(long key, SplittableRandom random) {
    return isKeyAtFault(key) && random.nextDouble() * failedCaches(key) >= 1;
  }

  /**
   * Whether the outcome is explained by the key's fault: an error response shows that the cache
   * itself is healthy.
   */
  boolean explainsOutcome(long key, AttemptOutcome outcome) {
    return outcome == AttemptOutcome.ERROR && isKeyAtFault(key);
  }
}
