package beaconturn.decision;

import java.util.Map;
import java.util.SplittableRandom;

/**
 * Counts for each key at how many caches in a row its attempts have failed since one was answered.
 * Attempts that were not answered at all, or had no effect, tell nothing of the key.
 */
final class KeyFailures {
  /** A key that failed at this many caches in a row is itself at fault, and not the caches. */
  private static final int CACHES_UNTIL_KEY_AT_FAULT = 2;

  private final Map<Long, Failures> failuresByKey = new LruMap<>(LruMap.USUAL_CAPACITY);

  /** The cache that failed last, and how many did in a row. */
  private record Failures(long lastServerId, int caches) {}

  /** An attempt for the key has ended. */
  void attemptEnded(long key, long serverId, AttemptOutcome outcome) {
    if (outcome.isAnswer()) {
      failuresByKey.remove(key);
    } else if (outcome == AttemptOutcome.ERROR || outcome == AttemptOutcome.RESET) {
      Failures failures = failuresByKey.get(key);
      if (failures == null || failures.lastServerId() != serverId) {
        failuresByKey.put(key, new Failures(serverId, caches(key) + 1));
      }
    }
  }

  /** At how many caches in a row the key has failed; 0 where none has failed it, or for no key. */
  private int caches(long key) {
    Failures failures = key == 0 ? null : failuresByKey.get(key);
    return failures == null ? 0 : failures.caches();
  }

  /** Whether it is the key that is at fault, not the caches. */
  boolean isKeyAtFault(long key) {
    return caches(key) >= CACHES_UNTIL_KEY_AT_FAULT;
  }

  /**
   * Draws whether a request for the key is given up at once: all but one in as many as caches have
   * failed the key. Draws only if the key is at fault.
   */
  boolean isDrawnHopeless(long key, SplittableRandom random) {
    return isKeyAtFault(key) && random.nextDouble() * caches(key) >= 1;
  }

  /**
   * Whether the key's fault explains the end of an attempt: an error that comes quickly shows that
   * its cache is well.
   */
  boolean explains(long key, AttemptOutcome outcome) {
    return outcome == AttemptOutcome.ERROR && isKeyAtFault(key);
  }
}
