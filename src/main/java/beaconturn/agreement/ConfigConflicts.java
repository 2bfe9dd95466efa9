package beaconturn.agreement;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Which fields of two versions contradict each other and which merely differ; the table of {@code
 * docs/agreement.md} as code. A field contradicts where acting by one version does what the other
 * forbids: a request run twice, a send too many, a send to a server that is out. A deadline merely
 * differs: each client is held to the one under which its request was read. Contents are to be
 * whole, as {@link ConfigContent#over} makes them.
 */
public final class ConfigConflicts {
  private ConfigConflicts() {}

  /**
   * What acting by the one does that the other forbids, or the reverse; empty where neither does.
   */
  public static List<String> between(ConfigContent one, ConfigContent other) {
    List<String> fields = new ArrayList<>(violations(one, other));
    violations(other, one).stream().filter(f -> !fields.contains(f)).forEach(fields::add);
    return fields;
  }

  /** The fields in which acting by the content does what the rule forbids. */
  public static List<String> violations(ConfigContent acting, ConfigContent rule) {
    List<String> fields = new ArrayList<>();
    for (Map.Entry<String, ClassRule> e : rule.classes().entrySet()) {
      ClassRule acts = acting.classes().get(e.getKey());
      ClassRule must = e.getValue();
      if (acts != null && looser(acts.idempotency(), must.idempotency())) {
        fields.add("class." + e.getKey() + ".effect");
      }
      // A window counts only where repeats are made at all; unsafe requests are never repeated.
      if (acts != null
          && acts.idempotency() == ClassIdempotency.KEYED
          && longer(acts.deduplicationWindowNanos(), must.deduplicationWindowNanos())) {
        fields.add("class." + e.getKey() + ".window");
      }
    }
    if (acting.maxAttempts() != null
        && rule.maxAttempts() != null
        && acting.maxAttempts() > rule.maxAttempts()) {
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

  private static boolean looser(ClassIdempotency acts, ClassIdempotency must) {
    return acts != null && must != null && acts.compareTo(must) < 0;
  }

  /**
   * Repeats are sent for as long as the window that is acted on: beyond the other's they run twice.
   */
  private static boolean longer(Long acts, Long must) {
    return acts != null && must != null && acts > must;
  }
}
