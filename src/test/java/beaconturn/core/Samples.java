package beaconturn.core;

import java.util.HashMap;
import java.util.Map;

/** Router settings for tests, as paths and values. */
public final class Samples {
  private Samples() {}

  /**
   * Settings with an idempotent class, a class with idempotency keys and a non-idempotent class;
   * the policy polls discovery.
   */
  public static Map<String, String> settings() {
    Map<String, String> values = new HashMap<>();
    String[] effects = {"read_like", "idempotency_key", "non_idempotent"};
    String[] names = {"read", "put", "ack"};
    values.put("classes.count", "3");
    for (int i = 0; i < effects.length; i++) {
      values.put("classes." + i + ".name", names[i]);
      values.put("classes." + i + ".effect", effects[i]);
      values.put("classes." + i + ".target", "500000000");
      values.put("classes." + i + ".hard_limit", "2000000000");
      values.put("classes." + i + ".window", "3000000000");
    }
    values.put("replicas_of_me", "1");
    values.put("discovery", "ask");
    values.put("dcs", "east,west");
    values.put("flavors", "small,large");
    values.put("rules.answer_slack", "20000000");
    values.put("rules.ask_within", "1000000000");
    values.put("permissions.cancel", "true");
    values.put("permissions.second_copies", "true");
    values.put("permissions.retry_after", "true");
    values.put("permissions.max_retry_after", "2000000000");
    values.put("permissions.most_tries", "3");
    values.put("permissions.dial_timeout", "250000000");
    values.put("permissions.conn_idle", "5000000000");
    return values;
  }

  /** The sample settings after reading; {@code changes} are pairs of a path and another value. */
  public static RouterSettings read(String... changes) {
    Map<String, String> values = settings();
    for (int i = 0; i < changes.length; i += 2) {
      values.put(changes[i], changes[i + 1]);
    }
    try {
      return RouterSettingsReader.read(values);
    } catch (SettingsException e) {
      throw new IllegalStateException(e);
    }
  }
}
