package beaconturn.agreement;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Determines which fields of two versions contradict each other, as specified in {@code
 * docs/agreement.md}. A field contradicts if acting on one version does what the other forbids: a
 * repeated request, an attempt above the limit, an attempt at an excluded server. Deadlines never
 * contradict, as each request keeps the deadline under which it was received. All contents must be
 * complete, see {@link ConfigContent#withDefaults}. Pure functions.
 */
public final class ConfigConflicts {
  private ConfigConflicts() {}

  /** Returns the fields in which acting on either content does what the other forbids. */
  public static List<String> between(ConfigContent one, ConfigContent other) {
    List<String> fields = new ArrayList<>(violations(one, other));
    violations(other, one).stream().filter(field -> !fields.contains(field)).forEach(fields::add);
    return fields;
  }

  /** Returns the fields in which acting on the content does what the constraint forbids. */
  public static List<String> violations(ConfigContent acting, ConfigContent constraint) {
    List<String> fields = new ArrayList<>();
    for (Map.Entry<String, ClassRule> entry : constraint.classes().entrySet()) {
      ClassRule actingRule = acting.classes().get(entry.getKey());
      if (actingRule != null) {
        fields.addAll(classViolations(entry.getKey(), actingRule, entry.getValue()));
      }
    }
    if (isMore(acting.maxAttempts(), constraint.maxAttempts())) {
      fields.add("most_tries");
    }
    if (Boolean.TRUE.equals(acting.hedging()) && Boolean.FALSE.equals(constraint.hedging())) {
      fields.add("second_copies");
    }
    if (acting.minListVersion() < constraint.minListVersion()) {
      fields.add("oldest_list");
    }
    constraint.excludedServers().stream()
        .filter(server -> !acting.excludedServers().contains(server))
        .forEach(server -> fields.add("out." + server));
    return fields;
  }

  private static List<String> classViolations(String name, ClassRule acting, ClassRule constraint) {
    List<String> fields = new ArrayList<>();
    if (isMoreLenient(acting.idempotency(), constraint.idempotency())) {
      fields.add("class." + name + ".effect");
    }
    // A repeat sent after the shorter deduplication window is executed a second time. The window
    // matters only for classes whose requests are repeated by idempotency key.
    boolean repeatsByKey = acting.idempotency() == ClassIdempotency.IDEMPOTENCY_KEY;
    if (repeatsByKey
        && isMore(acting.deduplicationWindowNanos(), constraint.deduplicationWindowNanos())) {
      fields.add("class." + name + ".window");
    }
    return fields;
  }

  private static boolean isMoreLenient(ClassIdempotency acting, ClassIdempotency constraint) {
    return acting != null && constraint != null && acting.compareTo(constraint) < 0;
  }

  private static <T extends Comparable<T>> boolean isMore(T acting, T constraint) {
    return acting != null && constraint != null && acting.compareTo(constraint) > 0;
  }
}
