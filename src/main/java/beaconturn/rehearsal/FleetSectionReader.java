package beaconturn.rehearsal;

import beaconturn.standin.CacheServerSpec;
import beaconturn.standin.OriginModel;
import beaconturn.toml.TomlException;
import beaconturn.toml.TomlSection;
import java.util.List;

/** Reads the cache servers, the origin and the routing settings of a scenario. */
final class FleetSectionReader {
  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final long NANOS_PER_SECOND = 1000 * NANOS_PER_MILLI;
  private static final int MAX_CACHE_SERVERS = 200;
  private static final List<String> LOAD_REPORT_FIELDS = List.of("inflight", "latency_ms", "qps");

  private FleetSectionReader() {}

  /** Reads the cache servers of the table {@code [fleet]}. */
  static Scenario.Fleet readFleet(TomlSection section) throws TomlException {
    List<String> sites = section.texts("sites", List.of("east", "west"));
    if (sites.isEmpty()) {
      throw section.invalid("sites", "empty, at least one is needed");
    }
    List<String> loadReportFields = section.texts("report", List.of());
    for (String field : loadReportFields) {
      if (!LOAD_REPORT_FIELDS.contains(field)) {
        throw section.invalid(
            "report",
            "unknown '" + field + "', allowed are " + String.join(", ", LOAD_REPORT_FIELDS));
      }
    }
    CacheServerSpec serverSpec = readServerSpec(section, loadReportFields);
    return new Scenario.Fleet(
        section.integer("caches", 6, 1, MAX_CACHE_SERVERS),
        sites,
        section.integer("cell", 3, 1, 1000),
        serverSpec);
  }

  private static CacheServerSpec readServerSpec(TomlSection section, List<String> loadReportFields)
      throws TomlException {
    return new CacheServerSpec(
        section.number("speed", 1, 0.01, 100),
        section.integer("workers", 4, 1, 1000),
        section.integer("room", 64, 0, 100_000),
        section.sizeBytes("capacity", 64L << 20, 1024),
        section.durationNanos("ttl", 60 * NANOS_PER_SECOND, NANOS_PER_MILLI),
        section.number("cold_share", 0.2, 0.01, 1),
        section.durationNanos("cold_for", 10 * NANOS_PER_SECOND, 0),
        section.number("fall_multiple", 4, 1, 1000),
        section.durationNanos("fall_after", NANOS_PER_SECOND, 100 * NANOS_PER_MILLI),
        section.integer("connections", 1000, 1, 100_000),
        section.durationNanos("connect_work", NANOS_PER_MILLI, 0),
        section.integer("multiplex", 1, 1, 1000),
        section.bool("share_fetch", true),
        section.bool("cancel", true),
        loadReportFields);
  }

  /** Reads the origin of the table {@code [origin]}. */
  static OriginModel.Spec readOrigin(TomlSection section) throws TomlException {
    return new OriginModel.Spec(
        section.integer("workers", 16, 1, 10_000),
        section.integer("queue", 2000, 0, 1_000_000),
        section.durationNanos("work", 60 * NANOS_PER_MILLI, 0),
        section.number("fall_multiple", 8, 1, 10_000),
        section.durationNanos("fall_after", 3 * NANOS_PER_SECOND, 0),
        section.durationNanos("fall_for", 5 * NANOS_PER_SECOND, 0));
  }

  /** Reads the routing settings of the table {@code [settings]}. */
  static Scenario.RoutingSettings readRoutingSettings(TomlSection section) throws TomlException {
    return new Scenario.RoutingSettings(
        section.integer("most_tries", 4, 1, 16),
        section.bool("second_copies", true),
        section.bool("cancel", true),
        section.durationNanos("most_retry_after", 2 * NANOS_PER_SECOND, 0),
        section.durationNanos("dial_timeout", 250 * NANOS_PER_MILLI, NANOS_PER_MILLI),
        section.durationNanos("conn_idle", 5 * NANOS_PER_SECOND, 100 * NANOS_PER_MILLI),
        section.durationNanos("drain_grace", 500 * NANOS_PER_MILLI, 0),
        section.durationNanos("answer_slack", 20 * NANOS_PER_MILLI, 0),
        section.durationNanos("ask_within", 10 * NANOS_PER_SECOND, NANOS_PER_MILLI));
  }
}
