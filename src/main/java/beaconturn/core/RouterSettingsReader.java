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
 * Reads a router's settings from a map of paths to values; ignores unknown paths. Names in the
 * settings are mapped to the code's names here only.
 */
public final class RouterSettingsReader {
  /** Longer than any process lives, with room for additions without an overflow. */
  private static final long UNLIMITED_NANOS = Long.MAX_VALUE / 4;

  private final Map<String, String> values;

  private RouterSettingsReader(Map<String, String> values) {
    this.values = values;
  }

  /**
   * Reads the settings.
   *
   * @throws SettingsException naming the first setting that is missing or invalid
   */
  public static RouterSettings read(Map<String, String> values) throws SettingsException {
    RouterSettingsReader reader = new RouterSettingsReader(values);
    return new RouterSettings(
        reader.routing(), reader.classNames(), reader.textList("dcs"), reader.textList("flavors"));
  }

  private List<String> classNames() throws SettingsException {
    List<String> names = new ArrayList<>();
    for (int i = 0; i < required("classes.count"); i++) {
      names.add(text("classes." + i + ".name", Integer.toString(i)));
    }
    return List.copyOf(names);
  }

  private RoutingSettings routing() throws SettingsException {
    String weights = text("weights", "none");
    return new RoutingSettings(
        (int) integer("index", 0),
        (int) Math.max(1, required("replicas_of_me")),
        (int) integer("zone", 0),
        text("discovery", "push").equals("ask"),
        weights.equals("nominal") || weights.equals("rough"),
        text("counted_by", "request").equals("work"),
        number("over_share_worth", 1),
        integer("tick", 0),
        classes(),
        tenants(),
        safetyLimits(),
        permissions(),
        origin(),
        textList("load_report.names"));
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
              integer(prefix + "window", 0),
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
    long count = integer("tenants.count", 0);
    for (int i = 0; i < count; i++) {
      String prefix = "tenants." + i + ".";
      tenants.add(new Tenant(number(prefix + "quota_per_s", 0), number(prefix + "share", 0)));
    }
    return List.copyOf(tenants);
  }

  private SafetyLimits safetyLimits() throws SettingsException {
    return new SafetyLimits(
        integer("rules.answer_slack", 0),
        integer("rules.ask_within", UNLIMITED_NANOS),
        number("rules.cold_share", 1),
        integer("rules.cold", 0),
        integer("rules.drain_grace", 0),
        number("rules.fall_multiple", 1),
        integer("rules.overload_for", UNLIMITED_NANOS),
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
        integer(prefix + "max_retry_after", 0),
        (int) integer(prefix + "multiplex", 1),
        integer(prefix + "dial_timeout", 0),
        positive(prefix + "conn_idle", UNLIMITED_NANOS));
  }

  private OriginSettings origin() throws SettingsException {
    String prefix = "family_info.";
    return new OriginSettings(
        text(prefix + "mode", "through").equals("aside"),
        (int) integer(prefix + "origin_kind", -1),
        flag(prefix + "ordered", false),
        reportsCacheStatus(prefix + "notes"),
        integer(prefix + "origin_fall", 0),
        number(prefix + "origin_fall_multiple", 0));
  }

  /** Whether responses state hits and misses; the default if the setting is absent. */
  private boolean reportsCacheStatus(String path) throws SettingsException {
    String text = text(path, "hit");
    if (!text.equals("none") && !text.contains("hit")) {
      throw invalid(path, text);
    }
    return !text.equals("none");
  }

  private List<String> textList(String path) {
    String list = text(path, "");
    return list.isEmpty() ? List.of() : List.of(list.split(","));
  }

  private Idempotency idempotency(String path) throws SettingsException {
    String text = text(path, "");
    return switch (text) {
      case "read_like" -> Idempotency.IDEMPOTENT;
      case "idempotency_key" -> Idempotency.IDEMPOTENCY_KEY;
      case "non_idempotent" -> Idempotency.NON_IDEMPOTENT;
      default -> throw invalid(path, text);
    };
  }

  private static SettingsException invalid(String path, String text) {
    return new SettingsException("setting " + path + ": missing or invalid: '" + text + "'");
  }

  private DeduplicationScope deduplicationScope(String path) throws SettingsException {
    String text = text(path, "all");
    return switch (text) {
      case "all" -> DeduplicationScope.ALL;
      case "zone" -> DeduplicationScope.ZONE;
      case "cell" -> DeduplicationScope.CELL;
      default -> throw invalid(path, text);
    };
  }

  private String text(String path, String fallback) {
    return values.getOrDefault(path, fallback);
  }

  private boolean flag(String path, boolean fallback) throws SettingsException {
    String text = text(path, Boolean.toString(fallback));
    if (!text.equals("true") && !text.equals("false")) {
      throw invalid(path, text);
    }
    return text.equals("true");
  }

  /** A number above 0; the setting is required if the fallback is not above 0. */
  private long positive(String path, long fallback) throws SettingsException {
    long value = fallback > 0 ? integer(path, fallback) : required(path);
    if (value <= 0) {
      throw new SettingsException("setting " + path + ": must be greater than 0, is " + value);
    }
    return value;
  }

  private long required(String path) throws SettingsException {
    if (!values.containsKey(path)) {
      throw new SettingsException("setting " + path + ": missing");
    }
    return integer(path, 0);
  }

  private long integer(String path, long fallback) throws SettingsException {
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
