package beaconturn.rehearsal;

import beaconturn.protocol.Json;
import beaconturn.protocol.JsonWriter;
import beaconturn.standin.CacheServerSpec;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The configuration that a router under rehearsal is started with, in the form that {@code serve}
 * reads.
 */
final class RouterConfigWriter {
  private static final long TICK = 5_000_000;
  private final Scenario scenario;

  RouterConfigWriter(Scenario scenario) {
    this.scenario = scenario;
  }

  /** Where a router stands and asks; {@code control} is its second address, or null. */
  record Addresses(String listen, String discovery, String control) {}

  /** The text for one router; each of so many {@code reloads} has settings of its own. */
  String of(int router, Addresses at, Json known, long seed, int reloads) {
    Scenario.RouterSpec spec = scenario.routers().get(router);
    return JsonWriter.write(
        object(
            "name",
            spec.name(),
            "listen",
            at.listen(),
            "discovery",
            at.discovery(),
            "control",
            at.control() == null ? new Json.Nothing() : at.control(),
            "seed",
            String.format("%016x", seed),
            "limits",
            object("cores", 1.0, "memory_mb", spec.memoryMb(), "sockets", spec.sockets()),
            "known",
            known,
            "settings",
            settings(router, reloads)));
  }

  private Json settings(int router, int reloads) {
    Scenario.Rules r = scenario.rules();
    CacheServerSpec shape = scenario.fleet().shape();
    List<String> reports = shape.loadReportFields();
    return object(
        "index",
        router,
        "replicas_of_me",
        scenario.routers().size(),
        "zone",
        scenario.fleet().places().indexOf(scenario.routers().get(router).site()),
        "dcs",
        texts(scenario.fleet().places()),
        "flavors",
        texts(List.of("standin")),
        "discovery",
        "ask",
        "counted_by",
        "request",
        "over_share_worth",
        1.0,
        "weights",
        "none",
        "tick",
        TICK,
        "tenants",
        new Json.Items(List.of()),
        "classes",
        new Json.Items(
            scenario.types().stream()
                .filter(t -> !scenario.routers().get(router).lacks().contains(t.name()))
                .map(RouterConfigWriter::type)
                .toList()),
        "family_info",
        object(
            "mode",
            "through",
            "ordered",
            true,
            "origin_kind",
            -1,
            "origin_fall",
            scenario.origin().fallAfter(),
            "origin_fall_multiple",
            scenario.origin().fallMultiple()),
        "load_report",
        object("how", reports.isEmpty() ? "none" : "each", "names", texts(reports)),
        "permissions",
        object(
            "cancel",
            r.cancel(),
            "peers",
            false,
            "probes",
            false,
            "retry_after",
            true,
            "second_copies",
            r.secondCopies(),
            "most_tries",
            r.mostTries(),
            "max_retry_after",
            r.mostRetryAfter() + reloads,
            "multiplex",
            shape.multiplex(),
            "dial_timeout",
            r.dialTimeout(),
            "conn_idle",
            r.idle()),
        "rules",
        object(
            "answer_slack",
            r.answerSlack(),
            "ask_within",
            r.askWithin(),
            "cold_share",
            shape.coldSpeedShare(),
            "cold",
            shape.warmUpNanos(),
            "drain_grace",
            r.drainGrace(),
            "fall_multiple",
            shape.overloadMultiple(),
            "overload_for",
            shape.overloadNanos()));
  }

  private static Json type(Scenario.Type t) {
    return object(
        "name",
        t.name(),
        "effect",
        t.effect().setting(),
        "key_scope",
        t.scope(),
        "window",
        t.window(),
        "target",
        t.aim(),
        "hard_limit",
        t.deadline(),
        "worth",
        t.worth(),
        "late_worth",
        0.0,
        "stream",
        false);
  }

  /** A list of texts. */
  static Json texts(List<String> words) {
    return new Json.Items(words.stream().map(w -> (Json) new Json.Text(w)).toList());
  }

  /** An object of names and values by turns; texts, numbers, flags or values of JSON. */
  static Json object(Object... pairs) {
    Map<String, Json> members = new LinkedHashMap<>();
    for (int i = 0; i < pairs.length; i += 2) {
      Object value = pairs[i + 1];
      Json json =
          value instanceof Json whole
              ? whole
              : value instanceof Boolean flag
                  ? new Json.Flag(flag)
                  : value instanceof Number figure
                      ? new Json.Figure(figure.toString())
                      : new Json.Text(value.toString());
      members.put(pairs[i].toString(), json);
    }
    return new Json.Members(members);
  }
}
