package beaconturn.agreement;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Which fields of two versions contradict each other and which merely differ; the table of {@code
 * docs/agreement.md} as code. A field contradicts where acting by one version does what the other
 * forbids: a request run twice, an attempt too many, an attempt at a server that is excluded. A
 * deadline merely differs: each client is held to the one under which its request was read.
 * Contents are to be complete, as {@link ConfigContent#withDefaults} makes them. Pure functions.
 */
public final class ConfigConflicts {
  private ConfigConflicts() {}

  /**
   * The fields in which acting by the one does what the other forbids, or the reverse; empty where
   * neither does.
   */
  public static List<String> between(ConfigContent one, ConfigContent other) {
    List<String> fields = new ArrayList<>(violations(one, other));
    violations(other, one).stream().filter(field -> !fields.contains(field)).forEach(fields::add);
    return fields;
  }

  /** The fields in which acting by the content does what the rule forbids. */
  public static List<String> violations(ConfigContent acting, ConfigContent rule) {
    List<String> fields = new ArrayList<>();
    for (Map.Entry<String, ClassRule> entry : rule.classes().entrySet()) {
      ClassRule actingRule = acting.classes().get(entry.getKey());
      if (actingRule != null) {
        fields.addAll(classViolations(entry.getKey(), actingRule, entry.getValue()));
      }
    }
    if (isMore(acting.maxAttempts(), rule.maxAttempts())) {
      fields.add("most_tries");
    }
    if (Boolean.TRUE.equals(acting.hedging()) && Boolean.FALSE.equals(rule.hedging())) {
      fields.add("second_copies");
    }
    if (acting.minListVersion() < rule.minListVersion()) {
      fields.add("oldest_list");
    }
    rule.excludedServers().stream()
        .filter(server -> !acting.excludedServers().contains(server))
        .forEach(server -> fields.add("out." + server));
    return fields;
  }

  private static List<String> classViolations(String name, ClassRule acting, ClassRule rule) {
    List<String> fields = new ArrayList<>();
    if (isMoreLenient(acting.idempotency(), rule.idempotency())) {
      fields.add("class." + name + ".effect");
    }
    // Repeats are sent for as long as the window that is acted on: beyond the other's they run
    // twice. It counts only where repeats are made by it at all.
    boolean repeatsByKey = acting.idempotency() == ClassIdempotency.IDEMPOTENCY_KEY;
    if (repeatsByKey
        && isMore(acting.deduplicationWindowNanos(), rule.deduplicationWindowNanos())) {
      fields.add("class." + name + ".window");
    }
    return fields;
  }

  private static boolean isMoreLenient(ClassIdempotency acting, ClassIdempotency rule) {
    return acting != null && rule != null && acting.compareTo(rule) < 0;
  }

  private static <T extends Comparable<T>> boolean isMore(T acting, T rule) {
    return acting != null && rule != null && acting.compareTo(rule) > 0;
  }
}
