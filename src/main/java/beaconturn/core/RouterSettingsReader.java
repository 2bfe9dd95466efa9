package beaconturn.core;

import beaconturn.decision.DeduplicationScope;
import beaconturn.decision.Idempotency;
import beaconturn.decision.OriginSettings;
import beaconturn.decision.RequestClass;
import beaconturn.decision.RoutingPermissions;
import beaconturn.decision.RoutingSettings;
import beaconturn.decision.SafetyLimits;
import beaconturn.decision.Tenant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Reader of a router's settings from paths and values, however they came; unknown paths are
 * skipped. The words of the settings are mapped to the code's terms here once.
 */
public final class RouterSettingsReader {
  /** In nanoseconds: longer than any process lives, and far from an overflow. */
  private static final long UNLIMITED = Long.MAX_VALUE / 4;

  private final Map<String, String> values;

  private RouterSettingsReader(Map<String, String> values) {
    this.values = values;
  }

  /**
   * The settings that the values state.
   *
   * @throws SettingsException naming the first one that is missing or unreadable
   */
  public static RouterSettings read(Map<String, String> values) throws SettingsException {
    RouterSettingsReader reader = new RouterSettingsReader(values);
    return new RouterSettings(
        reader.routing(), reader.classNames(), reader.wordList("dcs"), reader.wordList("flavors"));
  }

  private List<String> classNames() throws SettingsException {
    List<String> names = new ArrayList<>();
    for (int i = 0; i < required("classes.count"); i++) {
      names.add(word("classes." + i + ".name", Integer.toString(i)));
    }
    return List.copyOf(names);
  }

  private RoutingSettings routing() throws SettingsException {
    String weights = word("weights", "none");
    return new RoutingSettings(
        (int) whole("index", 0),
        (int) Math.max(1, required("replicas_of_me")),
        (int) whole("zone", 0),
        word("discovery", "push").equals("ask"),
        weights.equals("nominal") || weights.equals("rough"),
        word("counted_by", "request").equals("work"),
        number("over_share_worth", 1),
        whole("tick", 0),
        classes(),
        tenants(),
        safetyLimits(),
        permissions(),
        origin(),
        wordList("load_report.names"));
  }

  private List<RequestClass> classes() throws SettingsException {
    List<RequestClass> classes = new ArrayList<>();
    long count = required("classes.count");
    for (int i = 0; i < count; i++) {
      String prefix = "classes." + i + ".";
      classes.add(
          new RequestClass(
              idempotency(prefix + "effect"),
              deduplicationScope(prefix + "key_scope"),
              whole(prefix + "window", 0),
              positive(prefix + "target", 0),
              positive(prefix + "hard_limit", 0),
              number(prefix + "worth", 1),
              number(prefix + "late_worth", 0),
              flag(prefix + "stream", false)));
    }
    return List.copyOf(classes);
  }

  private List<Tenant> tenants() throws SettingsException {
    List<Tenant> tenants = new ArrayList<>();
    long count = whole("tenants.count", 0);
    for (int i = 0; i < count; i++) {
      String prefix = "tenants." + i + ".";
      tenants.add(new Tenant(number(prefix + "quota_per_s", 0), number(prefix + "share", 0)));
    }
    return List.copyOf(tenants);
  }

  private SafetyLimits safetyLimits() throws SettingsException {
    return new SafetyLimits(
        whole("rules.answer_slack", 0),
        whole("rules.ask_within", UNLIMITED),
        number("rules.cold_share", 1),
        whole("rules.cold", 0),
        whole("rules.drain_grace", 0),
        number("rules.fall_multiple", 1),
        whole("rules.overload_for", UNLIMITED),
        flag("rules.soft_removal", false));
  }

  private RoutingPermissions permissions() throws SettingsException {
    String prefix = "permissions.";
    return new RoutingPermissions(
        flag(prefix + "cancel", false),
        flag(prefix + "peers", false),
        flag(prefix + "probes", false),
        flag(prefix + "retry_after", false),
        flag(prefix + "second_copies", false),
        (int) positive(prefix + "most_tries", 1),
        whole(prefix + "max_retry_after", 0),
        (int) whole(prefix + "multiplex", 1),
        whole(prefix + "dial_timeout", 0),
        positive(prefix + "conn_idle", UNLIMITED));
  }

  private OriginSettings origin() throws SettingsException {
    String prefix = "family_info.";
    return new OriginSettings(
        word(prefix + "mode", "through").equals("aside"),
        (int) whole(prefix + "origin_kind", -1),
        flag(prefix + "ordered", false),
        tellsCacheStatus(prefix + "notes"),
        whole(prefix + "origin_fall", 0),
        number(prefix + "origin_fall_multiple", 0));
  }

  /** {@code none} or what the numbers mean; where nothing is said answers are taken to tell. */
  private boolean tellsCacheStatus(String path) throws SettingsException {
    String word = word(path, "hit");
    if (!word.equals("none") && !word.contains("hit")) {
      throw unreadable(path, word);
    }
    return !word.equals("none");
  }

  private List<String> wordList(String path) {
    String words = word(path, "");
    return words.isEmpty() ? List.of() : List.of(words.split(","));
  }

  private Idempotency idempotency(String path) throws SettingsException {
    String word = word(path, "");
    return switch (word) {
      case "read_like" -> Idempotency.IDEMPOTENT;
      case "idempotency_key" -> Idempotency.IDEMPOTENCY_KEY;
      case "non_idempotent" -> Idempotency.NON_IDEMPOTENT;
      default -> throw unreadable(path, word);
    };
  }

  private static SettingsException unreadable(String path, String word) {
    return new SettingsException("setting " + path + ": missing or unreadable: '" + word + "'");
  }

  private DeduplicationScope deduplicationScope(String path) throws SettingsException {
    String word = word(path, "all");
    return switch (word) {
      case "all" -> DeduplicationScope.ALL;
      case "zone" -> DeduplicationScope.ZONE;
      case "cell" -> DeduplicationScope.CELL;
      default -> throw unreadable(path, word);
    };
  }

  private String word(String path, String fallback) {
    return values.getOrDefault(path, fallback);
  }

  private boolean flag(String path, boolean fallback) throws SettingsException {
    String word = word(path, Boolean.toString(fallback));
    if (!word.equals("true") && !word.equals("false")) {
      throw unreadable(path, word);
    }
    return word.equals("true");
  }

  /** A number over 0; a fallback that is not makes it one that must be there. */
  private long positive(String path, long fallback) throws SettingsException {
    long value = fallback > 0 ? whole(path, fallback) : required(path);
    if (value <= 0) {
      throw new SettingsException("setting " + path + ": must be over 0, is " + value);
    }
    return value;
  }

  private long required(String path) throws SettingsException {
    if (!values.containsKey(path)) {
      throw new SettingsException("setting " + path + ": missing");
    }
    return whole(path, 0);
  }

  private long whole(String path, long fallback) throws SettingsException {
    return (long) number(path, fallback);
  }

  private double number(String path, double fallback) throws SettingsException {
    String value = values.get(path);
    if (value == null) {
      return fallback;
    }
    try {
      return Double.parseDouble(value);
    } catch (NumberFormatException e) {
      throw new SettingsException("setting " + path + ": not a number: '" + value + "'");
    }
  }
}
