package beaconturn.decision;

import java.util.Map;
import java.util.SplittableRandom;

/**
 * At how many caches one after the other the attempts for a key have failed since one was answered.
 * What was not answered at all, or had no effect, says nothing of the key.
 */
final class KeyFailures {
  /** A key that failed at so many caches in a row is what is at fault, not they. */
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

  /** At how many caches; 0 where none has failed, or the key is none. */
  private int caches(long key) {
    Failures failures = key == 0 ? null : failuresByKey.get(key);
    return failures == null ? 0 : failures.caches();
  }

  /** Whether it is the key that is at fault, not the caches. */
  boolean isKeyAtFault(long key) {
    return caches(key) >= CACHES_UNTIL_KEY_AT_FAULT;
  }

  /**
   * Whether a request for the key is given up at once: all but one in as many as caches have
   * failed. Draws if the key is at fault.
   */
  boolean isDrawnHopeless(long key, SplittableRandom random) {
    return isKeyAtFault(key) && random.nextDouble() * caches(key) >= 1;
  }

  /** Whether that is why an attempt ended so: a quick error says that its cache is well. */
  boolean explains(long key, AttemptOutcome outcome) {
    return outcome == AttemptOutcome.ERROR && isKeyAtFault(key);
  }
}
