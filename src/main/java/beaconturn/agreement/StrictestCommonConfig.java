package beaconturn.agreement;

import java.util.SortedMap;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Computes a content that contradicts neither of two versions: the stricter idempotency, the lower
 * attempt limit, the shorter deduplication window, the newer endpoint list and the exclusions of
 * both. Pure functions.
 */
public final class StrictestCommonConfig {
  private StrictestCommonConfig() {}

  /** Returns the content to act on while either of two complete contents may be in force. */
  public static ConfigContent between(ConfigContent one, ConfigContent other) {
    SortedMap<String, ClassRule> classes = new TreeMap<>(one.classes());
    other
        .classes()
        .forEach((name, rule) -> classes.merge(name, rule, StrictestCommonConfig::stricter));
    SortedSet<String> excluded = new TreeSet<>(one.excludedServers());
    excluded.addAll(other.excludedServers());
    return new ConfigContent(
        classes,
        least(one.maxAttempts(), other.maxAttempts()),
        least(one.hedging(), other.hedging()),
        Math.max(one.minListVersion(), other.minListVersion()),
        excluded);
  }

  /**
   * Returns the content for a router that does not know which version is in force: no request is
   * sent more than once, and the servers excluded in the last known content stay excluded. The
   * router does not know of servers that were excluded since then.
   */
  public static ConfigContent strict(ConfigContent known) {
    SortedMap<String, ClassRule> classes = new TreeMap<>();
    known
        .classes()
        .forEach(
            (name, rule) ->
                classes.put(
                    name,
                    new ClassRule(
                        ClassIdempotency.NON_IDEMPOTENT,
                        rule.deduplicationWindowNanos(),
                        rule.deadlineNanos())));
    return new ConfigContent(classes, 1, false, known.minListVersion(), known.excludedServers());
  }

  private static ClassRule stricter(ClassRule one, ClassRule other) {
    return new ClassRule(
        stricter(one.idempotency(), other.idempotency()),
        least(one.deduplicationWindowNanos(), other.deduplicationWindowNanos()),
        least(one.deadlineNanos(), other.deadlineNanos()));
  }

  private static ClassIdempotency stricter(ClassIdempotency one, ClassIdempotency other) {
    if (one == null || other == null) {
      return firstNonNull(one, other);
    }
    return one.stricter(other);
  }

  /** Returns the lesser value, or the only one specified; false is less than true. */
  private static <T extends Comparable<T>> T least(T one, T other) {
    if (one == null || other == null) {
      return firstNonNull(one, other);
    }
    return one.compareTo(other) <= 0 ? one : other;
  }

  private static <T> T firstNonNull(T one, T other) {
    return one == null ? other : one;
  }
}
