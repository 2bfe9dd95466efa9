package beaconturn.agreement;

import java.util.SortedMap;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * What contradicts neither of two versions: the stricter effect, the fewer sends, the shorter
 * window of repeats, the newer list, and whatever either holds out. A pure function; that it
 * contradicts neither is held by a property test.
 */
public final class StrictestCommonConfig {
  private StrictestCommonConfig() {}

  /** The ground between two whole contents. */
  public static ConfigContent between(ConfigContent one, ConfigContent other) {
    SortedMap<String, ClassRule> classes = new TreeMap<>(one.classes());
    other
        .classes()
        .forEach((name, rule) -> classes.merge(name, rule, StrictestCommonConfig::stricter));
    SortedSet<String> out = new TreeSet<>(one.excludedServers());
    out.addAll(other.excludedServers());
    return new ConfigContent(
        classes,
        least(one.maxAttempts(), other.maxAttempts()),
        (one.hedging() == null || other.hedging() == null)
            ? first(one.hedging(), other.hedging())
            : one.hedging() && other.hedging(),
        Math.max(one.minListVersion(), other.minListVersion()),
        out);
  }

  /**
   * The ground of a router that does not know which version is in force: nothing is sent twice, and
   * what it last knew to be out stays out. What else is out by now it cannot know.
   */
  public static ConfigContent strict(ConfigContent base) {
    SortedMap<String, ClassRule> classes = new TreeMap<>();
    base.classes()
        .forEach(
            (name, rule) ->
                classes.put(
                    name,
                    new ClassRule(
                        ClassIdempotency.UNSAFE,
                        rule.deduplicationWindowNanos(),
                        rule.deadlineNanos())));
    return new ConfigContent(classes, 1, false, base.minListVersion(), base.excludedServers());
  }

  private static ClassRule stricter(ClassRule one, ClassRule other) {
    return new ClassRule(
        one.idempotency() == null || other.idempotency() == null
            ? first(one.idempotency(), other.idempotency())
            : one.idempotency().stricter(other.idempotency()),
        least(one.deduplicationWindowNanos(), other.deduplicationWindowNanos()),
        least(one.deadlineNanos(), other.deadlineNanos()));
  }

  private static <T extends Comparable<T>> T least(T one, T other) {
    return one == null || other == null
        ? first(one, other)
        : one.compareTo(other) <= 0 ? one : other;
  }

  private static <T> T first(T one, T other) {
    return one == null ? other : one;
  }
}
