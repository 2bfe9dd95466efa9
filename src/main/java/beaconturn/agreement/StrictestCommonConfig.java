package beaconturn.agreement;

import java.util.SortedMap;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * What contradicts neither of two versions: the stricter idempotency, the fewer attempts, the
 * shorter window of repeats, the newer list, and whatever either excludes. Pure functions; that the
 * result contradicts neither is held by a property test.
 */
public final class StrictestCommonConfig {
  private StrictestCommonConfig() {}

  /** What may be acted on while either of two complete contents may be in force. */
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
   * What a router may act on that does not know which version is in force: nothing is sent twice,
   * and what it last knew to be excluded stays so. What else is excluded by now it cannot know.
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
      return first(one, other);
    }
    return one.stricter(other);
  }

  /** The lesser one, where both are specified; of flags false is less than true. */
  private static <T extends Comparable<T>> T least(T one, T other) {
    if (one == null || other == null) {
      return first(one, other);
    }
    return one.compareTo(other) <= 0 ? one : other;
  }

  private static <T> T first(T one, T other) {
    return one == null ? other : one;
  }
}
