package beaconturn.rehearsal;

import beaconturn.protocol.Json;
import beaconturn.protocol.JsonWriter;
import beaconturn.standin.CacheServerSpec;
import java.util.List;

/** The writer of the configuration files that routers under rehearsal are started with. */
final class RouterConfigWriter {
  private static final long TICK_NANOS = 5_000_000;
  private final Scenario scenario;

  RouterConfigWriter(Scenario scenario) {
    this.scenario = scenario;
  }

  /** The addresses of a router; {@code control} is its admin address, or null. */
  record Addresses(String listen, String discovery, String control) {}

  /**
   * Returns the configuration of one router as JSON text.
   *
   * @param router its index in the scenario
   * @param known the endpoint list that it starts with
   * @param reloads how often it was reloaded; each reload has settings of its own
   */
  String configOf(int router, Addresses addresses, Json known, long seed, int reloads) {
    Scenario.RouterSpec spec = scenario.routers().get(router);
    Json limits =
        new JsonObjectBuilder()
            .put("cores", 1.0)
            .put("memory_mb", spec.memoryMb())
            .put("sockets", spec.sockets())
            .build();
    Json control =
        addresses.control() == null ? new Json.Null() : new Json.Text(addresses.control());
    return JsonWriter.write(
        new JsonObjectBuilder()
            .put("name", spec.name())
            .put("listen", addresses.listen())
            .put("discovery", addresses.discovery())
            .put("control", control)
            .put("seed", String.format("%016x", seed))
            .put("limits", limits)
            .put("known", known)
            .put("settings", settings(router, reloads))
            .build());
  }

  private Json settings(int router, int reloads) {
    List<String> zones = scenario.fleet().places();
    return new JsonObjectBuilder()
        .put("index", router)
        .put("replicas_of_me", scenario.routers().size())
        .put("zone", zones.indexOf(scenario.routers().get(router).site()))
        .putStrings("dcs", zones)
        .putStrings("flavors", List.of("standin"))
        .put("discovery", "ask")
        .put("counted_by", "request")
        .put("over_share_worth", 1.0)
        .put("weights", "none")
        .put("tick", TICK_NANOS)
        .put("tenants", List.of())
        .put("classes", classes(router))
        .put("family_info", originSettings())
        .put("load_report", loadReport())
        .put("permissions", permissions(reloads))
        .put("rules", safetyLimits())
        .build();
  }

  private List<Json> classes(int router) {
    List<String> unknown = scenario.routers().get(router).lacks();
    return scenario.types().stream()
        .filter(type -> !unknown.contains(type.name()))
        .map(RouterConfigWriter::requestClass)
        .toList();
  }

  private static Json requestClass(Scenario.Type type) {
    return new JsonObjectBuilder()
        .put("name", type.name())
        .put("effect", type.effect().setting())
        .put("key_scope", type.scope())
        .put("window", type.window())
        .put("target", type.aim())
        .put("hard_limit", type.deadline())
        .put("worth", type.worth())
        .put("late_worth", 0.0)
        .put("stream", false)
        .build();
  }

  private Json originSettings() {
    return new JsonObjectBuilder()
        .put("mode", "through")
        .put("ordered", true)
        .put("origin_kind", -1)
        .put("origin_fall", scenario.origin().fallAfter())
        .put("origin_fall_multiple", scenario.origin().fallMultiple())
        .build();
  }

  private Json loadReport() {
    List<String> fields = scenario.fleet().shape().loadReportFields();
    return new JsonObjectBuilder()
        .put("how", fields.isEmpty() ? "none" : "each")
        .putStrings("names", fields)
        .build();
  }

  private Json permissions(int reloads) {
    Scenario.Rules rules = scenario.rules();
    return new JsonObjectBuilder()
        .put("cancel", rules.cancel())
        .put("peers", false)
        .put("probes", false)
        .put("retry_after", true)
        .put("second_copies", rules.secondCopies())
        .put("most_tries", rules.mostTries())
        .put("max_retry_after", rules.mostRetryAfter() + reloads)
        .put("multiplex", scenario.fleet().shape().multiplex())
        .put("dial_timeout", rules.dialTimeout())
        .put("conn_idle", rules.idle())
        .build();
  }

  private Json safetyLimits() {
    Scenario.Rules rules = scenario.rules();
    CacheServerSpec spec = scenario.fleet().shape();
    return new JsonObjectBuilder()
        .put("answer_slack", rules.answerSlack())
        .put("ask_within", rules.askWithin())
        .put("cold_share", spec.coldSpeedShare())
        .put("cold", spec.warmUpNanos())
        .put("drain_grace", rules.drainGrace())
        .put("fall_multiple", spec.overloadMultiple())
        .put("overload_for", spec.overloadNanos())
        .build();
  }
}
