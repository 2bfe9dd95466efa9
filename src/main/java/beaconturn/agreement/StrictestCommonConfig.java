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
    SortedSet<String> out = new TreeSet<>(one.out());
    out.addAll(other.out());
    return new ConfigContent(
        classes,
        least(one.mostTries(), other.mostTries()),
        (one.secondCopies() == null || other.secondCopies() == null)
            ? first(one.secondCopies(), other.secondCopies())
            : one.secondCopies() && other.secondCopies(),
        Math.max(one.oldestList(), other.oldestList()),
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
                    name, new ClassRule(ClassIdempotency.UNSAFE, rule.window(), rule.deadline())));
    return new ConfigContent(classes, 1, false, base.oldestList(), base.out());
  }

  private static ClassRule stricter(ClassRule one, ClassRule other) {
    return new ClassRule(
        one.effect() == null || other.effect() == null
            ? first(one.effect(), other.effect())
            : one.effect().stricter(other.effect()),
        least(one.window(), other.window()),
        least(one.deadline(), other.deadline()));
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
