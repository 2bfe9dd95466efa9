package beaconturn.rehearsal;

import beaconturn.protocol.Json;
import beaconturn.protocol.JsonWriter;
import beaconturn.standin.CacheServerSpec;
import java.util.List;

/** Writes the configuration files with which the routers of a rehearsal are started. */
final class RouterConfigWriter {
  private static final long TICK_NANOS = 5_000_000;
  private final Scenario scenario;

  RouterConfigWriter(Scenario scenario) {
    this.scenario = scenario;
  }

  /** The addresses in a router's configuration; {@code admin} is null if it has none. */
  record Addresses(String listen, String discovery, String admin) {}

  /**
   * Returns the configuration of one router as JSON text.
   *
   * @param router its index in the scenario
   * @param endpointList the endpoint list that it starts with
   * @param reloadCount how often it was reloaded; the settings differ after each reload
   */
  String configOf(int router, Addresses addresses, Json endpointList, long seed, int reloadCount) {
    Scenario.RouterSpec routerSpec = scenario.routers().get(router);
    Json limits =
        new JsonObjectBuilder()
            .put("cores", 1.0)
            .put("memory_mb", routerSpec.memoryMb())
            .put("sockets", routerSpec.maxSockets())
            .build();
    Json admin = addresses.admin() == null ? new Json.Null() : new Json.Text(addresses.admin());
    return JsonWriter.write(
        new JsonObjectBuilder()
            .put("name", routerSpec.name())
            .put("listen", addresses.listen())
            .put("discovery", addresses.discovery())
            .put("control", admin)
            .put("seed", String.format("%016x", seed))
            .put("limits", limits)
            .put("known", endpointList)
            .put("settings", settings(router, reloadCount))
            .build());
  }

  private Json settings(int router, int reloadCount) {
    List<String> zones = scenario.fleet().distinctSites();
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
        .put("permissions", permissions(reloadCount))
        .put("rules", safetyLimits())
        .build();
  }

  private List<Json> classes(int router) {
    List<String> unknownClasses = scenario.routers().get(router).unknownClasses();
    return scenario.requestClasses().stream()
        .filter(requestClass -> !unknownClasses.contains(requestClass.name()))
        .map(RouterConfigWriter::requestClass)
        .toList();
  }

  private static Json requestClass(Scenario.RequestClass requestClass) {
    return new JsonObjectBuilder()
        .put("name", requestClass.name())
        .put("effect", requestClass.effect().settingName())
        .put("key_scope", requestClass.deduplicationScope())
        .put("window", requestClass.deduplicationWindowNanos())
        .put("target", requestClass.latencyObjectiveNanos())
        .put("hard_limit", requestClass.deadlineNanos())
        .put("worth", requestClass.priorityWeight())
        .put("late_worth", 0.0)
        .put("stream", false)
        .build();
  }

  private Json originSettings() {
    return new JsonObjectBuilder()
        .put("mode", "through")
        .put("ordered", true)
        .put("origin_kind", -1)
        .put("origin_fall", scenario.origin().overloadNanos())
        .put("origin_fall_multiple", scenario.origin().overloadMultiple())
        .build();
  }

  private Json loadReport() {
    List<String> reportedFields = scenario.fleet().serverSpec().loadReportFields();
    return new JsonObjectBuilder()
        .put("how", reportedFields.isEmpty() ? "none" : "each")
        .putStrings("names", reportedFields)
        .build();
  }

  private Json permissions(int reloadCount) {
    Scenario.RoutingSettings settings = scenario.routingSettings();
    return new JsonObjectBuilder()
        .put("cancel", settings.cancellationAllowed())
        .put("peers", false)
        .put("probes", false)
        .put("retry_after", true)
        .put("second_copies", settings.hedgingAllowed())
        .put("most_tries", settings.maxAttempts())
        .put("max_retry_after", settings.maxRetryAfterNanos() + reloadCount)
        .put("multiplex", scenario.fleet().serverSpec().multiplex())
        .put("dial_timeout", settings.connectTimeoutNanos())
        .put("conn_idle", settings.idleTimeoutNanos())
        .build();
  }

  private Json safetyLimits() {
    Scenario.RoutingSettings settings = scenario.routingSettings();
    CacheServerSpec serverSpec = scenario.fleet().serverSpec();
    return new JsonObjectBuilder()
        .put("answer_slack", settings.responseSlackNanos())
        .put("ask_within", settings.pollWithinNanos())
        .put("cold_share", serverSpec.coldSpeedShare())
        .put("cold", serverSpec.warmUpNanos())
        .put("drain_grace", settings.drainGraceNanos())
        .put("fall_multiple", serverSpec.overloadMultiple())
        .put("overload_for", serverSpec.overloadNanos())
        .build();
  }
}
